#!/usr/bin/env bash
# Installs the packages, builds, checks format and lint, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
Build=${BUILD_DIR:-build}
scripts/install-packages.sh
cmake -S . -B "$Build" -G Ninja >/dev/null
cmake --build "$Build" -j "$(nproc)"
scripts/lint.sh "$Build"

# passOverKnownRed: succeeds if every failed test program printed failed cases and
# KNOWN-RED.txt lists each of them; prints the cases that it passes over.
passOverKnownRed() {
  local Results=$Build/Testing/Temporary Program Case Cases Output
  [ -s KNOWN-RED.txt ] && [ -s "$Results/LastTestsFailed.log" ] || return 1
  while IFS=: read -r _ Program; do
    Output=$(awk -v Name="$Program" '
      / Testing: / { Inside = ($0 ~ (" Testing: " Name "$")) }
      Inside' "$Results/LastTest.log")
    # A program that crashed or timed out does not print this summary.
    grep -q 'detected in the test module' <<<"$Output" || return 1
    Cases=$(grep -oE '(error|Test is aborted).*: in "[^"]+"' <<<"$Output" |
      sed 's/.*: in "//; s/"$//' | sort -u)
    [ -n "$Cases" ] || return 1
    while read -r Case; do
      grep -qxF "case: $Program $Case" KNOWN-RED.txt || return 1
      echo "known red, passed over: $Program $Case"
    done <<<"$Cases"
  done <"$Results/LastTestsFailed.log"
}

ctest --test-dir "$Build" --output-on-failure -j 4 || passOverKnownRed
