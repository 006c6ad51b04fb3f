#!/usr/bin/env bash
# Reads COUNT streams (1000) at once through one entry, checks every chunk, and
# writes what the entry used to out/streams/streams.json.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
trap 'stop_deployment TERM' EXIT

dir=out/streams
mkdir -p "$dir"
bin/sycamore-replay generate-document --targets 64 --one-generation --models 1 --organisations 4 \
  --out "$dir/document.json" --tokens "$dir/tokens.json"
deploy_in "$dir" "$dir/document.json" 1
sleep "${SETTLE_SECONDS:-3}"
bin/sycamore-replay streams --entries "$(entry_addresses)" --pids "$(entry_ids)" \
  --document "$dir/document.json" --tokens "$dir/tokens.json" \
  --count "${COUNT:-1000}" --tokens-each "${TOKENS:-100}" --report "$dir/streams.json"
