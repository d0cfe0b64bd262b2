#!/usr/bin/env bash
# Starts a fleet on loopback as separate processes: a platform, two engines, a
# plain service and three entry hosts. Stops them when it ends (Ctrl-C).
# Usage: scripts/fleet.sh [DIR]   DIR keeps settings and logs, default a new one.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace
bin=$PWD/target/release
dir=${1:-$(mktemp -d)}
mkdir -p "$dir"
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait' EXIT

digest=$(printf 'sk-demo' | sha256sum | cut -d' ' -f1)
secret=$(head -c 32 /dev/urandom | base64)
cat >"$dir/tree.yaml" <<YAML
operator: demo
keys:
- {id: k1, secret: "$secret"}
overrides: {entries_keep: 2s, ticket_life: 5s}
data_centres: {east-dist: {}, north-dist: {}, xiangshan: {}}
services:
  assistant-llm:
    kind: engine
    traits: {resume: true}
    targets:
      a1: {address: "127.0.0.1:7101", data_centre: east-dist}
      a2: {address: "127.0.0.1:7102", data_centre: north-dist}
  booking-app:
    kind: plain
    repeatable: [{method: GET, path: /slots}]
    targets:
      b1: {address: "127.0.0.1:7201", data_centre: xiangshan}
accounts:
  demo: {credentials: ["$digest"]}
YAML

echo "hosts:" >"$dir/hosts.yaml"
data_centres=(east-dist north-dist xiangshan)
for i in 1 2 3; do
  dc=${data_centres[$((i - 1))]}
  echo "- {callers: \"127.0.0.1:730$i\", peers: \"127.0.0.1:740$i\", data_centre: $dc, state: live}" \
    >>"$dir/hosts.yaml"
  cat >"$dir/host$i.yaml" <<YAML
callers: "127.0.0.1:730$i"
peers: "127.0.0.1:740$i"
operators: "127.0.0.1:750$i"
platform: "127.0.0.1:7001"
data_centre: $dc
YAML
done

start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  echo "$name: process $!, log $dir/$name.log"
}

start platform "$bin/rig" platform --listen 127.0.0.1:7001 \
  --tree "$dir/tree.yaml" --hosts "$dir/hosts.yaml"
start engine1 "$bin/rig" engine --listen 127.0.0.1:7101
start engine2 "$bin/rig" engine --listen 127.0.0.1:7102
start plain1 "$bin/rig" plain --listen 127.0.0.1:7201
for i in 1 2 3; do
  start "host$i" "$bin/yuccarudder" serve --settings "$dir/host$i.yaml"
done

cat <<TEXT
Try:
  export YUCCARUDDER_CREDENTIAL=sk-demo
  $bin/yuccarudder ask --host 127.0.0.1:7301 --model assistant-llm --prompt "Plan a week"
  $bin/yuccarudder ask --host 127.0.0.1:7301 --service booking-app \\
    --method POST --path bookings --body "seat 4" --once seat-4
  $bin/yuccarudder status 127.0.0.1:7501
  $bin/rig load --host 127.0.0.1:7301 --model assistant-llm --service booking-app
TEXT
wait
