#!/usr/bin/env bash
# Starts the stand-ins, 6 entries and the console of a deployment on loopback and
# leaves them running: settings, logs and process ids are under out/<deployment>. Publishes
# the deployment's document and waits until the entries are ready. scripts/down.sh
# stops all of it.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${DEPLOYMENT:-tanglaw}
entries=${ENTRIES:-6}
policy=${POLICY:-scheduler}
dir=out/$deployment

if [ -s "$dir/pids" ] && ! scripts/down.sh --check; then
  echo "$deployment runs already; scripts/down.sh stops it" >&2
  exit 1
fi
rm -rf "$dir"
mkdir -p "$dir"

# start runs a program apart from this shell and notes its name and id.
start() {
  local name=$1
  shift
  setsid "$@" >"$dir/$name.log" 2>&1 </dev/null &
  echo "$name $!" >>"$dir/pids"
}

bin/sycamore-standin layout --document "examples/$deployment.json" --entries "$entries" --policy "$policy" --out "$dir"
start standin bin/sycamore-standin run --settings "$dir/standin.json"
for i in $(seq "$entries"); do
  start "entry-$i" bin/sycamore-entry run --settings "$dir/entry-$i.json"
done
start console bin/sycamore-console run --settings "$dir/console.json"

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
