#!/usr/bin/env bash
# Measures the latency that a node adds, with real processes on loopback. Paths:
# directly to the target, through a plain proxy that uses the same libraries,
# through the node of the target, and through the node of another service (peer).
# Arguments are passed to bench.latency.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${VENV:-.venv}/bin
out=out/latency
mkdir -p "$out"
export PYTHONPATH=src:.
export EBONYCLEAT_FLEET_SECRET=${EBONYCLEAT_FLEET_SECRET:-bench-fleet-secret}
export EBONYCLEAT_OPERATOR_KEY=demo-operator-key SURVEY_KEY=bench-key
pids=()
start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$out/$name.out" 2>&1 &
  pids+=($!)
}
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  sleep 5
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT
start log "$bin/ebonycleat-log-standin" --settings demo/settings/log.toml
for name in map-a claims-a; do
  start "target-$name" "$bin/ebonycleat-target-standin" \
    --settings "demo/settings/target-$name.toml"
  start "node-$name" "$bin/ebonycleat-node" \
    --settings "demo/settings/node-$name.toml"
done
start passthrough "$bin/python" -m bench.passthrough 27400 27301
"$bin/python" -m bench.latency "$@"
