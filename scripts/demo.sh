#!/usr/bin/env bash
# Demonstrates the whole request path with real processes on this machine:
# publishes the documents of Zinnwerk, starts 4 nodes with upstreams in two
# regions, and sends a lookup, a 50 MB upload and a commission. On exit it stops
# the processes that it started and removes its files.
set -euo pipefail
cd "$(dirname "$0")/.."
Build=${BUILD_DIR:-build}
Documents=examples/zinnwerk
WaitSeconds=60

scripts/install-packages.sh
cmake -S . -B "$Build" -G Ninja >/dev/null
cmake --build "$Build" -j "$(nproc)" \
  --target lycheethread lychee-test-log lychee-test-upstream | tail -n 1
Binary=$Build/src/app/lycheethread
Log=$Build/tests/standins/log/lychee-test-log
Upstream=$Build/tests/standins/upstream/lychee-test-upstream

Work=$(mktemp -d)
Pids=()
cleanup() {
  for Pid in "${Pids[@]}"; do
    kill -TERM "$Pid" 2>/dev/null || true
  done
  for Pid in "${Pids[@]}"; do
    for _ in $(seq 100); do
      kill -0 "$Pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$Pid" 2>/dev/null || true
    wait "$Pid" 2>/dev/null || true
  done
  rm -rf "$Work"
}
trap cleanup EXIT

# start NAME COMMAND...: runs the command in the background and writes its
# output to $Work/NAME.out.
start() {
  local Name=$1
  shift
  "$@" >"$Work/$Name.out" 2>&1 &
  Pids+=($!)
}

# Uses ports below the ephemeral range, from which the kernel takes ports for
# outgoing connections.
mapfile -t Ports < <(python3 - <<'PORTS'
import random, socket
found = []
for port in random.sample(range(15000, 32000), 2000):
    try:
        with socket.socket() as tcp, \
             socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
    except OSError:
        continue
    found.append(port)
    if len(found) == 21:
        break
print("\n".join(map(str, found)))
PORTS
)
LogUrl=http://127.0.0.1:${Ports[20]}
Seeds=
declare -A Listen Admin

# node INDEX ID REGION ZONE SERVICE GROUP: writes the settings of a node and
# starts the node and its upstream. The first node is the seed of the others.
node() {
  local At=$(($1 * 5)) Id=$2
  Listen[$Id]=127.0.0.1:${Ports[$At]}
  Admin[$Id]=127.0.0.1:${Ports[$((At + 3))]}
  local Control=127.0.0.1:${Ports[$((At + 2))]}
  local Address=127.0.0.1:${Ports[$((At + 4))]}
  cat >"$Work/$Id.ini" <<INI
[node]
id = $Id
region = $3
zone = $4

[listen]
requests = ${Listen[$Id]}
hop = 127.0.0.1:${Ports[$((At + 1))]}
control = $Control
admin = ${Admin[$Id]}

[upstream]
address = $Address
service = $5
group = $6
version = v1

[log]
url = $LogUrl
INI
  if [ -n "$Seeds" ]; then
    printf '\n[peers]\nseeds = %s\n' "$Seeds" >>"$Work/$Id.ini"
  else
    Seeds=$Control
  fi
  start "$Id-upstream" "$Upstream" --listen "$Address" --node "${Listen[$Id]}"
  start "$Id" "$Binary" node --settings "$Work/$Id.ini"
}

# Succeeds if every node sees all 4 nodes as ready and has both documents.
allReady() {
  local Id
  for Id in "${!Admin[@]}"; do
    "$Binary" status --admin "${Admin[$Id]}" --json 2>/dev/null |
      python3 -c '
import json, sys
try:
    status = json.load(sys.stdin)
except ValueError:
    sys.exit(1)
ready = sum(row["states"].get("ready", 0) for row in status.get("members", []))
sys.exit(0 if ready == 4 and len(status.get("documents", [])) == 2 else 1)
' || return 1
  done
}

# waitFor TEXT COMMAND...: repeats the command until it succeeds, for up to
# WaitSeconds; TEXT names the awaited state in the error message.
waitFor() {
  local Text=$1
  shift
  for _ in $(seq $((WaitSeconds * 5))); do
    "$@" 2>/dev/null && return 0
    sleep 0.2
  done
  echo "demo: timed out after $WaitSeconds s waiting for $Text" >&2
  tail -n 5 "$Work"/*.out >&2
  return 1
}

# request TITLE NODE SERVICE PATH CURL-OPTIONS...: sends a request through a
# node and prints the response body, the path and the time.
request() {
  local Title=$1 Node=$2 Service=$3 Path=$4
  shift 4
  local Seconds
  Seconds=$(curl -sS --fail-with-body -o "$Work/body" -D "$Work/head" \
    -w '%{time_total}' -H "Host: $Service" "$@" "http://${Listen[$Node]}$Path")
  echo "$Title at $Node"
  echo "  answer $(head -c 100 "$Work/body")"
  echo "  path   $(grep -i '^lt-path:' "$Work/head" | cut -d' ' -f2- | tr -d '\r')"
  echo "  time   $Seconds s"
}

start log "$Log" --listen "127.0.0.1:${Ports[20]}"
waitFor "the start of the log" curl -sf -o /dev/null \
  "$LogUrl/streams/control/bounds"
for Document in scans-stock-ledger commission-catalogue; do
  "$Binary" publish "$Documents/$Document.ini" --log "$LogUrl"
done
node 0 workshop-1 oberbayern eichstaett commission-catalogue workshop
node 1 workshop-2 oberbayern ingolstadt commission-catalogue workshop
node 2 scans-1 franken nuernberg scans-stock-ledger scans
node 3 ledger-1 franken fuerth scans-stock-ledger ledger
waitFor "readiness of 4 nodes with 2 documents" allReady

head -c 52428800 /dev/urandom >"$Work/scan"
request "lookup" workshop-1 commission-catalogue /catalogue/bowls
request "50 MB upload" workshop-1 scans-stock-ledger "/scans/chalice?digest=1" \
  -H "Expect:" --data-binary "@$Work/scan"
echo "  sent   $(sha256sum "$Work/scan" | cut -d' ' -f1)"
[ "$(head -c 64 "$Work/body")" = "$(sha256sum "$Work/scan" | cut -d' ' -f1)" ]
request "commission" scans-1 commission-catalogue /commissions \
  -H "idempotency-key: commission-17" --data "one tin jug"
request "the same commission again" scans-1 commission-catalogue /commissions \
  -H "idempotency-key: commission-17" --data "one tin jug"
echo "demo: done"
