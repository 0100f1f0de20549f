#!/usr/bin/env bash
# Builds the harness of the third review, with all stand-ins that its scripts start, into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/harness ./review/_harness3
