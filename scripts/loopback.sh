# Functions that run a deployment on loopback, for the measuring scripts beside
# this file, which source it.

started=()
entry_pids=()
entry_addresses=()

# stop_deployment ends what start_deployment started, by id, and nothing else.
stop_deployment() {
  for pid in "${started[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
  started=()
  entry_pids=()
  entry_addresses=()
}
trap stop_deployment EXIT

# start_deployment DIR DOCUMENT ENTRIES [layout flags]: stand-ins in one process,
# then the entries; returns once all entries are ready with the document.
start_deployment() {
  local dir=$1 document=$2 entries=$3
  shift 3
  rm -rf "$dir/run"
  mkdir -p "$dir/run"
  bin/sycamore-standin layout --document "$document" --entries "$entries" --out "$dir/run" "$@"
  bin/sycamore-standin run --settings "$dir/run/standin.json" >"$dir/run/standin.log" 2>&1 &
  started+=($!)
  local i
  for i in $(seq "$entries"); do
    bin/sycamore-entry run --settings "$dir/run/entry-$i.json" >"$dir/run/entry-$i.log" 2>&1 &
    started+=($!)
    entry_pids+=($!)
    entry_addresses+=("127.0.0.1:$((24000 + i))")
  done
  deployment_publish "$dir" "$document"
  deployment_ready "$dir" "$entries"
}

# deployment_publish DIR DOCUMENT: the entries answer operators once they listen;
# publishing again is harmless, since the document's id is its own.
deployment_publish() {
  local attempt
  for attempt in $(seq 100); do
    if bin/sycamorectl --settings "$1/run/ctl.json" publish "$2" >"$1/run/publish.txt" 2>&1; then return 0; fi
    sleep 0.2
  done
  echo "the document could not be published:"
  cat "$1/run/publish.txt"
  return 1
}

deployment_ready() {
  local attempt ready
  for attempt in $(seq 150); do
    ready=$(bin/sycamorectl --settings "$1/run/ctl.json" status --output json 2>/dev/null | grep -c '"state": *"ready"' || true)
    [ "$ready" -lt "$2" ] || return 0
    sleep 0.2
  done
  echo "only $ready of $2 entries are ready"
  return 1
}

joined() {
  local IFS=,
  echo "$*"
}
