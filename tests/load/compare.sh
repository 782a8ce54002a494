#!/usr/bin/env bash
# Measures the latency that two nodes (entry and last hop) add, compared with
# direct calls to the upstream. Usage: compare.sh [build directory] [seconds].
set -euo pipefail
Build=${1:-build}/tests
Seconds=${2:-5}
Pids=()
trap 'kill "${Pids[@]}"; wait' EXIT
Limits=(--slots 200 --connections 300 --caller-share 100)
Node=(--node n2=127.0.0.1:7122)
"$Build/standins/upstream/lychee-test-upstream" --listen 127.0.0.1:7101 \
  --slots 200 &
Pids+=($!)
"$Build/load/lychee-bench-node" --id n2 --listen 127.0.0.1:7112 \
  --hop 127.0.0.1:7122 --upstream 127.0.0.1:7101 "${Node[@]}" "${Limits[@]}" &
Pids+=($!)
"$Build/load/lychee-bench-node" --id n1 --listen 127.0.0.1:7111 \
  "${Node[@]}" "${Limits[@]}" &
Pids+=($!)
sleep 1

# usage PID: prints processor time in ms and resident memory in KB of a process.
usage() {
  local Fields Hertz
  read -r -a Fields <"/proc/$1/stat"
  Hertz=$(getconf CLK_TCK)
  echo "$(((Fields[13] + Fields[14]) * 1000 / Hertz))" \
    "$(awk '/^VmRSS/ {print $2}' "/proc/$1/status")"
}

for Spec in "1 200" "20 1000" "110 1000"; do
  read -r Connections Rate <<<"$Spec"
  echo "$Connections connections, $Rate requests a second"
  read -r LastHopBefore _ < <(usage "${Pids[1]}")
  read -r EntryBefore _ < <(usage "${Pids[2]}")
  "$Build/load/lychee-load" --target 127.0.0.1:7111 --compare 127.0.0.1:7101 \
    --connections "$Connections" --rate "$Rate" --seconds "$Seconds"
  read -r LastHopAfter LastHopMemory < <(usage "${Pids[1]}")
  read -r EntryAfter EntryMemory < <(usage "${Pids[2]}")
  echo "processor time in all: last hop $((LastHopAfter - LastHopBefore)) ms," \
    "entry $((EntryAfter - EntryBefore)) ms; memory: last hop" \
    "$LastHopMemory KB, entry $EntryMemory KB"
done
uptime
