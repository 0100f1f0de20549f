#!/usr/bin/env bash
# Builds the stand-ins and the test program of the scripted cases 6 to 10.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_harness2
