#!/usr/bin/env bash
# Measures what a daemon costs at growing sizes, with real processes on loopback
# (at most 48 entries and one process of stand-ins) and with the core alone where
# processes cannot reach, and fits slopes: out/slopes/{points.jsonl,core.txt,
# slopes.json,slopes.csv}. SERIES chooses some of the series; the points of a
# series that is measured again are replaced.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
trap 'stop_deployment TERM' EXIT

dir=out/slopes
points=$dir/points.jsonl
duration=${DURATION:-10s}
settle=${SETTLE_SECONDS:-8}
all_series="entries targets organisations changes requests tokens queued claims resolve core"
mkdir -p "$dir"

# document FLAGS: makes the document that is measured with.
document() { bin/sycamore-replay generate-document --out "$dir/document.json" --tokens "$dir/tokens.json" "$@" >/dev/null; }

# deploy ENTRIES [layout flags]
deploy() {
  deploy_in "$dir" "$dir/document.json" "$@"
  sleep "$settle"
}

# point SERIES X [flags]: reads the running entries for a while.
point() {
  bin/sycamore-replay slopes measure --series "$1" --x "$2" --duration "$duration" --points "$points" \
    --entries "$(entry_addresses)" --pids "$(entry_ids)" \
    --document "$dir/document.json" --tokens "$dir/tokens.json" "${@:3}"
}

# forget SERIES...: drops points of an earlier run.
forget() {
  [ -e "$points" ] || return 0
  local series
  for series in "$@"; do
    grep -v "^{\"series\":\"$series\"," "$points" >"$points.new" || true
    mv "$points.new" "$points"
  done
}

# Members: idle, and under 5 requests a second and daemon.
measure_entries() {
  forget entries-idle entries-load
  document --targets 24
  local n
  for n in 6 12 24 48; do
    deploy "$n"
    point entries-idle "$n"
    point entries-load "$n" --rate $((5 * n))
    stop_deployment TERM
  done
}

# Engines, at 12 entries without load.
measure_targets() {
  forget targets-idle
  local n
  for n in 12 48 96 192; do
    document --targets "$n"
    deploy 12
    point targets-idle "$n"
    stop_deployment TERM
  done
}

# Organisations, at 6 entries under a load that is small but makes the callers'
# side form its index. A record on the log holds no more than some 4,500.
measure_organisations() {
  forget organisations
  local n
  for n in 5 1000 2500 4500; do
    document --targets 12 --organisations "$n"
    deploy 6
    point organisations "$n" --rate 6
    stop_deployment TERM
  done
}

# Changes of a document of 1,000 organisations a second, and the size of what
# changes twice in three seconds.
measure_changes() {
  forget changes change-size
  local operators="127.0.0.1:24201" token="loopback-operator-token" n
  document --targets 12 --organisations 1000
  deploy 6
  point changes 0
  point changes 0.5 --change-every 2s --operators "$operators" --operator-token "$token"
  point changes 1 --change-every 1s --operators "$operators" --operator-token "$token"
  point changes 2 --change-every 500ms --operators "$operators" --operator-token "$token"
  stop_deployment TERM
  for n in 5 1000 2500 4500; do
    document --targets 12 --organisations "$n"
    deploy 6
    point change-size "$(stat -c %s "$dir/document.json")" --change-every 1s --operators "$operators" --operator-token "$token"
    stop_deployment TERM
  done
}

# Requests a second and daemon, at 6 entries, with short answers.
measure_requests() {
  forget requests
  document --targets 24
  deploy 6
  local n
  for n in 0 10 20 40; do point requests "$n" --rate $((6 * n)); done
  stop_deployment TERM
}

# Tokens a second and daemon, at 20 requests a second and daemon.
measure_tokens() {
  forget tokens
  document --targets 48 --one-generation
  deploy 6
  local n
  for n in 10 50 100; do point tokens $((20 * n)) --rate 120 --tokens-each "$n"; done
  stop_deployment TERM
}

# Requests that wait for a place, by daemon.
measure_queued() {
  forget queued
  document --targets 8 --max-in-flight 1
  local n
  for n in 0 10 20 40; do
    deploy 6
    point queued "$n" --count $((6 * n)) --tokens-each 1500
    stop_deployment TERM
  done
}

# Claims of idempotency keys a second and daemon.
measure_claims() {
  forget claims
  document --targets 2 --services 8
  deploy 6
  local n
  for n in 0 5 10 20 40; do point claims "$n" --kind keyed --rate $((6 * n)); done
  stop_deployment TERM
}

# Answers to "which entry" a second and daemon, at 24 entries.
measure_resolve() {
  forget resolve
  document --targets 24
  deploy 24
  local n
  for n in 0 10 20 40; do point resolve "$n" --kind resolve --rate $((24 * n)); done
  stop_deployment TERM
}

# The core alone, at up to 410 members, 1,800 targets and 38,000 organisations.
measure_core() {
  local out=$dir/core.txt
  : >"$out"
  bench() { go test "$1" -run '^$' -bench "$2" -benchtime "$3" | tee -a "$out" | grep ^Benchmark; }
  bench ./internal/replay/capacity 'Idle|Targets|Organisations|Change|Replaced' 30x
  bench ./internal/replay/capacity 'Request|Scheduled' 5000x
  bench ./internal/replay/capacity 'Floor$' 20x
  bench ./internal/replay/capacity 'FloorAsked' 2000x
  bench ./internal/core/membership Second 100x
  bench ./internal/core/claims Claim 200x
  bench ./internal/core/owner . 20000x
  bench ./internal/peers Packet 20000x
  bench ./internal/telemetry . 50000x
  echo "load average $(cut -d' ' -f1 /proc/loadavg)" | tee -a "$out"
}

for series in ${SERIES:-$all_series}; do "measure_$series"; done
bin/sycamore-replay slopes fit --points "$points" --benchmarks "$dir/core.txt" --out "$dir" >"$dir/slopes.txt"
echo "slopes: $dir/slopes.txt, $dir/slopes.json, $dir/slopes.csv"
