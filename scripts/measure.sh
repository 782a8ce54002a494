#!/usr/bin/env bash
# Usage: measure.sh [PART...]
# Runs the measurements for docs/CAPACITY.md and docs/proved.md and writes the
# results to docs/measurements/; all parts take about 10 minutes. The parts are
# decisions, latency, convergence, goodput and moves; default: all. Run it on an
# otherwise idle machine, because the pages quote its output.
set -euo pipefail
cd "$(dirname "$0")/.."
Build=${BUILD_DIR:-build}
Out=docs/measurements
Parts=("$@")
[ "${#Parts[@]}" -gt 0 ] || Parts=(decisions latency convergence goodput moves)

# record NAME COMMAND...: runs the command and appends it and its output to
# NAME.txt.
record() {
  local Name=$1
  shift
  echo "== $Name"
  {
    echo "\$ $*"
    "$@" 2>&1 | sed 's/\x1b\[[0-9;]*m//g'
    echo
  } >>"$Out/$Name.txt"
}

for Part in "${Parts[@]}"; do
  rm -f "$Out/$Part.txt"
  case $Part in
  decisions) record decisions "$Build/tests/capacity/lychee-capacity" ;;
  latency)
    for _ in 1 2 3; do record latency tests/load/compare.sh "$Build" 5; done
    ;;
  convergence)
    for Nodes in 12 50 150; do
      record convergence "$Build/tests/convergence/lychee-convergence" \
        --processes --nodes "$Nodes" --zones 4 --changes 10 \
        --settle-seconds 30 --idle-seconds 15
    done
    ;;
  goodput) record goodput "$Build/tests/load/lychee-goodput" --seconds 5 ;;
  moves)
    for Deployment in zinnwerk wijesekera; do
      record moves "$Build/tests/moves/lychee-move-trials" --seed 301 \
        --seeds 10 --good 20 --bad 20 --deployment "$Deployment"
    done
    ;;
  *)
    echo "measure.sh: unknown part \"$Part\"" >&2
    exit 2
    ;;
  esac
done
