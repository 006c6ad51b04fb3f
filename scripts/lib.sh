# Starts and stops a deployment on loopback; sourced by the scripts beside this
# file. What is started is stopped by its id. start_deployment reads:
#   dir            folder for settings, logs and process ids
#   document       the configuration document
#   entries        number of entries
#   layout_flags   further flags of sycamore-standin layout (array; may be unset)

standin=
declare -A entry_pid=() # by the entry's number

# start_entry N starts entry N and notes its id in entry-N.pid.
start_entry() {
  rm -f "$dir/entry-$1.exit"
  bin/sycamore-entry run --settings "$dir/entry-$1.json" >>"$dir/entry-$1.log" 2>&1 &
  entry_pid[$1]=$!
  echo "${entry_pid[$1]}" >"$dir/entry-$1.pid"
}

# start_deployment starts stand-ins and entries and publishes the document.
start_deployment() {
  rm -rf "$dir"
  mkdir -p "$dir"
  bin/sycamore-standin layout --document "$document" --entries "$entries" --out "$dir" "${layout_flags[@]}"
  bin/sycamore-standin run --settings "$dir/standin.json" >"$dir/standin.log" 2>&1 &
  standin=$!
  local i
  for i in $(seq "$entries"); do start_entry "$i"; done
  publish_document
  await_ready
}

# deploy_in DIR DOCUMENT ENTRIES [layout flags] starts a deployment in DIR/run.
deploy_in() {
  local dir=$1/run document=$2 entries=$3
  shift 3
  local layout_flags=("$@")
  start_deployment
}

ctl() { bin/sycamorectl --settings "$dir/ctl.json" "$@"; }

# The entries answer operators once they listen; publishing is repeated until
# then, and is harmless when repeated since the document's id is its own.
publish_document() {
  local attempt
  for attempt in $(seq 100); do
    if ctl publish "$document" >"$dir/publish.txt" 2>&1; then return; fi
    sleep 0.2
  done
  echo "the document could not be published:"
  cat "$dir/publish.txt"
  exit 1
}

await_ready() {
  local attempt ready
  for attempt in $(seq 150); do
    ready=$(ctl status --output json 2>/dev/null | grep -c '"state": *"ready"' || true)
    [ "$ready" -lt "$entries" ] || break
    sleep 0.2
  done
  sleep "${SETTLE_SECONDS:-2}" # takeovers of the targets end
}

joined() {
  local IFS=,
  echo "$*"
}

# entry_ids prints the entries' process ids, entry_addresses where callers reach
# them, by comma.
entry_ids() { joined "${entry_pid[@]}"; }
entry_addresses() { seq -s, -f '127.0.0.1:24%03.0f' "${#entry_pid[@]}"; }

# stop_deployment SIGNAL ends what was started: TERM lets entries drain and waits
# for it, KILL ends them at once.
stop_deployment() {
  local pid
  for pid in "${entry_pid[@]}" $standin; do kill "-$1" "$pid" 2>/dev/null || true; done
  for pid in "${entry_pid[@]}" $standin; do { wait "$pid"; } 2>/dev/null || true; done
  entry_pid=()
  standin=
}
