#!/usr/bin/env bash
# Starts the stand-ins and 6 entries of a deployment on loopback, publishes its
# document, replays its trace live, prints the table, writes out/run.json and
# stops what it started, by id.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${DEPLOYMENT:-tanglaw}
entries=${ENTRIES:-6}
policy=${POLICY:-scheduler}
trace=${TRACE:-traces/$deployment.jsonl}
report=${REPORT:-out/run.json}
dir=out/$deployment
rm -rf "$dir"
mkdir -p "$dir"

started=()
# stop ends what this script started: entries drain by SIGTERM and are given
# time for it; stand-ins end at once.
stop() {
  for pid in "${started[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop EXIT

bin/sycamore-standin layout --document "examples/$deployment.json" --entries "$entries" --policy "$policy" --out "$dir"
bin/sycamore-standin run --settings "$dir/standin.json" >"$dir/standin.log" 2>&1 &
started+=($!)
addresses=()
for i in $(seq "$entries"); do
  bin/sycamore-entry run --settings "$dir/entry-$i.json" >"$dir/entry-$i.log" 2>&1 &
  started+=($!)
  addresses+=("127.0.0.1:$((24000 + i))")
done

ctl() { bin/sycamorectl --settings "$dir/ctl.json" "$@"; }

# The entries answer operators once they listen; publishing is repeated until
# then, and is harmless when repeated since the document's id is its own.
for attempt in $(seq 50); do
  if ctl publish "examples/$deployment.json" >"$dir/publish.txt" 2>&1; then break; fi
  [ "$attempt" != 50 ] || { echo "the document could not be published:"; cat "$dir/publish.txt"; exit 1; }
  sleep 0.2
done
cat "$dir/publish.txt"
for attempt in $(seq 50); do
  ready=$(ctl status --output json 2>/dev/null | grep -c '"state": *"ready"' || true)
  [ "$ready" -lt "$entries" ] || break
  sleep 0.2
done
sleep "${SETTLE_SECONDS:-2}" # takeovers of the targets end
ctl status

joined=$(IFS=,; echo "${addresses[*]}")
code=0
bin/sycamore-replay run --mode live --trace "$trace" --document "examples/$deployment.json" \
  --entries "$joined" --outcomes "${OUTCOMES:-traces/outcomes.json}" --report "$report" || code=$?
echo "report: $report"
exit "$code"
