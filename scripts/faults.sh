#!/usr/bin/env bash
# Brings failures about between processes on loopback, each on a deployment of
# its own: one line each on the output, the whole in out/faults/NAME.json.
# Exits with 1 if one fails. Names as arguments choose some of them.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

document=examples/tanglaw.json
entries=6
layout_flags=()
trap 'stop_deployment KILL' EXIT

# watch notes the exit code of each entry that ends while the checker runs, and
# starts another process in its place where the failure wants that: the platform
# replaces instances. It returns the checker's exit code.
watch() {
  local checker=$1 name=$2 ended code number
  while true; do
    code=0
    { wait -n -p ended "$checker" "${entry_pid[@]}"; } 2>/dev/null || code=$?
    if [ "$ended" = "$checker" ]; then return "$code"; fi
    for number in "${!entry_pid[@]}"; do
      [ "${entry_pid[$number]}" = "$ended" ] || continue
      unset "entry_pid[$number]"
      echo "$code" >"$dir/entry-$number.exit"
      if [ "$name" = entry-replaced ]; then start_entry "$number"; fi
    done
  done
}

failed=()
play() {
  dir=out/faults/$1
  start_deployment
  bin/sycamore-replay fault "$1" --dir "$dir" --out "out/faults/$1.json" 2>"$dir/fault.log" &
  watch $! "$1" || { failed+=("$1"); cat "$dir/fault.log"; }
  stop_deployment KILL
}

if [ $# -gt 0 ]; then names=("$@"); else mapfile -t names < <(bin/sycamore-replay fault --list); fi
for name in "${names[@]}"; do play "$name"; done
echo "$((${#names[@]} - ${#failed[@]})) of ${#names[@]} failures stood${failed:+; not stood: ${failed[*]}}"
[ ${#failed[@]} -eq 0 ]
