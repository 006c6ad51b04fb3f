#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 8 start. The build line of deploy/system.toml builds the gateway.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-trials ./review/trials
