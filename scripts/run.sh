#!/usr/bin/env bash
# Starts the stand-ins and 6 entries of a deployment on loopback, publishes its
# document, replays its trace live, prints the table, writes out/run.json and
# stops what it started, by id.
set -euo pipefail
cd "$(dirname "$0")/.."

export DEPLOYMENT=${DEPLOYMENT:-tanglaw}
entries=${ENTRIES:-6}
trace=${TRACE:-traces/$DEPLOYMENT.jsonl}
report=${REPORT:-out/run.json}

trap scripts/down.sh EXIT
scripts/up.sh

addresses=()
for i in $(seq "$entries"); do addresses+=("127.0.0.1:$((24000 + i))"); done
joined=$(IFS=,; echo "${addresses[*]}")
code=0
bin/sycamore-replay run --mode live --trace "$trace" --document "examples/$DEPLOYMENT.json" \
  --entries "$joined" --outcomes "${OUTCOMES:-traces/outcomes.json}" --report "$report" || code=$?
echo "report: $report"
exit "$code"
