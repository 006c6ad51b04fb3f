#!/usr/bin/env bash
# Stops what scripts/up.sh started, by id: entries first, which drain, then the
# stand-ins. With --check it stops nothing and fails if any of them still runs.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=out/${DEPLOYMENT:-tanglaw}
drain_seconds=${DRAIN_SECONDS:-60}
[ -s "$dir/pids" ] || exit 0

# runs: the id is still that of the program started then, and not of another.
runs() {
  { tr '\0' ' ' <"/proc/$1/cmdline"; } 2>/dev/null | grep -q "$dir/"
}

running() {
  while read -r name pid; do
    [[ $name == $1 ]] && runs "$pid" && echo "$pid"
  done <"$dir/pids"
  return 0
}

if [ "${1:-}" = --check ]; then
  [ -z "$(running '*')" ]
  exit
fi

# stop signals the programs of a pattern and waits for their end.
stop() {
  for pid in $(running "$1"); do kill "$pid" 2>/dev/null || true; done
  for _ in $(seq $((drain_seconds * 10))); do
    [ -n "$(running "$1")" ] || return 0
    sleep 0.1
  done
  echo "still running after ${drain_seconds} s: $(running "$1")" >&2
  return 1
}

stop console
stop 'entry-*'
stop standin
rm "$dir/pids"
