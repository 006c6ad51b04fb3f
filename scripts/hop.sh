#!/usr/bin/env bash
# Measures what the way by an entry adds to a call, with ENTRIES entries (1), on
# engines whose step takes 1 ms, and writes out/hop/hop-ENTRIES.json.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
trap 'stop_deployment TERM' EXIT

dir=out/hop
mkdir -p "$dir"
bin/sycamore-replay generate-document --targets 4 --models 1 --organisations 1 \
  --out "$dir/document.json" --tokens "$dir/tokens.json"
for entries in ${ENTRIES:-1 6}; do
  deploy_in "$dir" "$dir/document.json" "$entries" --step-ms 1
  sleep "${SETTLE_SECONDS:-3}"
  echo "entries: $entries"
  bin/sycamore-replay hop --entries "$(entry_addresses)" --document "$dir/document.json" \
    --tokens "$dir/tokens.json" --count "${COUNT:-2000}" --report "$dir/hop-$entries.json"
  stop_deployment TERM
done
