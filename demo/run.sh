#!/usr/bin/env bash
# Starts a log, four targets and four nodes (two zones, two services) on
# loopback, runs the demo against them, and ends every process it started.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${VENV:-.venv}/bin
out=out/demo
mkdir -p "$out"
export EBONYCLEAT_FLEET_SECRET=${EBONYCLEAT_FLEET_SECRET:-demo-fleet-secret}
export EBONYCLEAT_OPERATOR_KEY=demo-operator-key
export SURVEY_KEY=demo-survey-key TRACTORS_KEY=demo-tractors-key

pids=()
start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$out/$name.out" 2>&1 &
  pids+=($!)
  echo $! >"$out/$name.pid"
}

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for _ in $(seq 50); do
    local alive=0
    for pid in "${pids[@]}"; do
      if kill -0 "$pid" 2>/dev/null; then alive=1; fi
    done
    [ "$alive" = 0 ] && return 0
    sleep 0.2
  done
  echo "demo: these processes did not end on SIGTERM and were killed:"
  for pid in "${pids[@]}"; do
    if kill -9 "$pid" 2>/dev/null; then echo "  $pid"; fi
  done
  return 1
}
trap 'stop_all || exit 1' EXIT

start log "$bin/ebonycleat-log-standin" --settings demo/settings/log.toml
for name in map-a map-b claims-a claims-b; do
  start "target-$name" "$bin/ebonycleat-target-standin" \
    --settings "demo/settings/target-$name.toml"
  start "node-$name" "$bin/ebonycleat-node" \
    --settings "demo/settings/node-$name.toml"
done

"$bin/python" -m ebonycleat_tools.demo --settings demo/settings/demo.toml
