#!/usr/bin/env bash
# Starts the stand-ins and 6 entries of a deployment on loopback, publishes its
# document, replays its trace live, prints the table, writes out/run.json and
# stops what it started, by id.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

deployment=${DEPLOYMENT:-tanglaw}
entries=${ENTRIES:-6}
document=examples/$deployment.json
layout_flags=(--policy "${POLICY:-scheduler}")
trace=${TRACE:-traces/$deployment.jsonl}
report=${REPORT:-out/run.json}
dir=out/$deployment

trap 'stop_deployment TERM' EXIT
start_deployment
cat "$dir/publish.txt"
ctl status

code=0
bin/sycamore-replay run --mode live --trace "$trace" --document "$document" \
  --entries "$(entry_addresses)" --outcomes "${OUTCOMES:-traces/outcomes.json}" --report "$report" || code=$?
echo "report: $report"
exit "$code"
