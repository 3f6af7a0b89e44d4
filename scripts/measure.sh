#!/bin/bash
# Starts processes of the system on loopback, takes one measurement of them and
# stops them:
#
#     scripts/measure.sh latency|memory|config|withdraw
#
# WORKSPACES (570) is the size of the configuration. GHOSTS is how many agents
# that do not run stand in the list of VMs besides. SIZES ("1 50 200") is the
# numbers of processes for config, of which one in SHARE (5) is an entry. BASE is the first of about
# 700 ports, by default one that follows from the script's process id.
set -euo pipefail
cd "$(dirname "$0")/.."

what=${1:?latency, memory, config or withdraw}
workspaces=${WORKSPACES:-570}
port=${BASE:-$((10000 + $$ % 22 * 1000))}
folder=$(mktemp -d)
pids=()

stop() {
  if ((${#pids[@]})); then
    kill "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
  fi
  pids=()
}
trap 'stop; rm -rf "$folder"' EXIT

# Sets address to the next port on loopback.
next() {
  address=127.0.0.1:$port
  port=$((port + 1))
}

# note ROLE NAME MEMBERS: writes down the process started last.
note() {
  pids+=("$!")
  echo "{\"role\":\"$1\",\"name\":\"$2\",\"pid\":$!,\"log\":\"$folder/$2.log\",$3}" >>"$folder/fleet"
}

# standin KIND [flags]
standin() {
  next
  "$folder/standin" "$@" -listen "$address" >"$folder/$1-$port.log" 2>&1 &
  note "$1" "$1-$port" "\"listen\":\"$address\""
}

# entry NUMBER
entry() {
  local listen peer admin
  next; listen=$address
  next; peer=$address
  next; admin=$address
  "$folder/chicoryrock" entry -name "entry-$1" -centre centre -region region -plain -drain 1s -listen "$listen" \
    -peer "$peer" -admin "$admin" -store "$store" -vms "$vms" >"$folder/entry-$1.log" 2>&1 &
  note entry "entry-$1" "\"listen\":\"$listen\",\"peer\":\"$peer\",\"admin\":\"$admin\""
}

# agent NUMBER POOL: beside the engine started last.
agent() {
  local listen admin
  next; listen=$address
  next; admin=$address
  "$folder/chicoryrock" agent -name "agent-$1" -centre centre -region region -plain -drain 1s -listen "$listen" \
    -admin "$admin" -vms "$vms" -engine "$engine" -pool "$2" -slots 1000 >"$folder/agent-$1.log" 2>&1 &
  note agent "agent-$1" "\"listen\":\"$listen\",\"admin\":\"$admin\",\"engine\":\"$engine\",\"pool\":\"$2\""
}

engine() {
  standin engine -model garland -slots 1000 -token 50ms
  engine=$address
}

# fleet ENTRIES AGENTS: an engine for each of the first two agents; the rest share
# the second one, as nothing is asked of them.
fleet() {
  : >"$folder/fleet"
  standin store; store=$address
  standin vms; vms=$address
  for ((i = 1; i <= $1; i++)); do entry "$i"; done
  for ((i = 1; i <= $2; i++)); do
    if ((i <= 2)); then engine; fi
    agent "$i" "$(printf 'pool-%02d' $(((i - 1) % 18)))"
  done
}

measure() {
  "$folder/standin" measure "$what" -fleet "$folder/fleet" -workspaces "$workspaces" -ghosts "$1"
}

go build -o "$folder/" ./cmd/chicoryrock ./cmd/standin
echo "$(date -u +%FT%TZ) commit $(git rev-parse --short HEAD) load $(cut -d' ' -f1-3 /proc/loadavg) processors $(nproc)"
case $what in
latency)
  fleet 1 2
  measure "${GHOSTS:-0}"
  ;;
memory)
  fleet 1 1
  measure "${GHOSTS:-1028}"
  ;;
withdraw)
  fleet 4 2
  measure "${GHOSTS:-0}"
  ;;
config)
  for size in ${SIZES:-1 50 200}; do
    share=${SHARE:-5}
    entries=$(((size + share - 1) / share))
    fleet "$entries" $((size - entries))
    if ((size - entries == 0)); then engine; fi
    measure "${GHOSTS:-0}"
    stop
  done
  ;;
*)
  echo "unknown measurement: $what" >&2
  exit 2
  ;;
esac
