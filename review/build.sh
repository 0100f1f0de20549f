#!/bin/sh
# Builds the stand-ins and the player of the scripted cases into target/review, after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/harness ./review/_harness
