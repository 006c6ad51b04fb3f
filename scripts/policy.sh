#!/usr/bin/env bash
# Runs the sweeps of docs/MEASUREMENTS.md, "Policy under load", and prints their
# tables: every policy at every load and in every scenario, on the virtual clock.
# Results go to OUT (out/policy); with PLOTS=folder pictures are drawn, beside an
# earlier OUT given as BEFORE.
set -euo pipefail
cd "$(dirname "$0")/.."

out=${OUT:-out/policy}
parallel=${PARALLEL:-3}
seeds=${SEEDS:-3}
mkdir -p "$out"
replay=bin/sycamore-replay

# sweep FILE DEPLOYMENT FLAGS...
sweep() {
  local file=$1 deployment=$2
  shift 2
  "$replay" sweep --deployment "$deployment" --parallel "$parallel" \
    --out "$out/$file.json" --csv "$out/$file.csv" "$@"
}

# Several times the longest deadline of a deployment, so that the trace's end,
# where waiting work meets idle engines, weighs little.
sweep tanglaw tanglaw --seconds 60 --seeds "$seeds"
sweep quebracho quebracho --seconds 240 --seeds "$seeds"

scenario() { sweep "$1" "$2" --seconds 30 --seeds "$seeds" "${@:3}"; }
scenario tanglaw-shift tanglaw --scenario shift --loads 1
scenario quebracho-call quebracho --scenario call --loads 0.5
for deployment in tanglaw quebracho; do
  scenario "$deployment-flood" "$deployment" --scenario flood --loads 0.8
  scenario "$deployment-straggle" "$deployment" --faults straggle --name straggle --loads 0.8
  scenario "$deployment-half-zone" "$deployment" --faults half-zone --name half-zone --loads 0.8
  scenario "$deployment-age10" "$deployment" --report-age 10s --name reports-10s --loads 1
done

for deployment in tanglaw quebracho; do
  special=shift
  [ "$deployment" = tanglaw ] || special=call
  scenarios=("$out/$deployment-$special.json")
  for name in flood straggle half-zone age10; do scenarios+=("$out/$deployment-$name.json"); done
  "$replay" table "$out/$deployment.json" "${scenarios[@]}"
  "$replay" table --organisations "$out/$deployment-flood.json"
  "$replay" table --latencies "$out/$deployment.json" "${scenarios[@]}"
  if [ -n "${PLOTS:-}" ]; then
    former=()
    [ -z "${BEFORE:-}" ] || former=(--before "$BEFORE/$deployment.json")
    "$replay" plot --sweep "$out/$deployment.json" "${former[@]}" --out "$PLOTS" >/dev/null
    joined=$(IFS=,; echo "${scenarios[*]}")
    "$replay" plot --scenarios "$joined" --out "$PLOTS" >/dev/null
  fi
done
