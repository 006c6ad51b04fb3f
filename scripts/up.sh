#!/usr/bin/env bash
# Starts the stand-ins, 6 entries and the console of a deployment on loopback and
# leaves them running: settings, logs and process ids are under out/<deployment>.
# Publishes the deployment's document and waits until the entries are ready.
# scripts/down.sh stops all of it. With TRACE_DIR each entry records its traffic there.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

deployment=${DEPLOYMENT:-tanglaw}
entries=${ENTRIES:-6}
document=examples/$deployment.json
policy=${POLICY:-scheduler}
dir=out/$deployment

if ! scripts/down.sh --check; then
  echo "$deployment runs already; scripts/down.sh stops it" >&2
  exit 1
fi
rm -rf "$dir"
mkdir -p "$dir" ${TRACE_DIR:+"$TRACE_DIR"}

# start runs a program apart from this shell and notes its name and id.
start() {
  local name=$1
  shift
  setsid "$@" >"$dir/$name.log" 2>&1 </dev/null &
  echo "$name $!" >>"$dir/pids"
}

bin/sycamore-standin layout --document "$document" --entries "$entries" --policy "$policy" --out "$dir" \
  ${TRACE_DIR:+--trace-dir "$TRACE_DIR"}
start standin bin/sycamore-standin run --settings "$dir/standin.json"
for i in $(seq "$entries"); do
  start "entry-$i" bin/sycamore-entry run --settings "$dir/entry-$i.json"
done
start console bin/sycamore-console run --settings "$dir/console.json"
publish_document
await_ready
cat "$dir/publish.txt"
ctl status
