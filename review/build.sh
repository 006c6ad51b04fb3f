#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The gateway itself is built by deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/standin
