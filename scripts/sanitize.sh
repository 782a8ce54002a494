#!/usr/bin/env bash
# Builds with the address and undefined behaviour sanitizers (build-asan), then
# with the thread sanitizer (build-tsan). With each build it runs EndToEndTests
# and the tests that do not start the processes of a whole system. Exits with 0
# if no test fails and no process writes a sanitizer report. Argument: address,
# thread or both (default). JOBS sets the number of parallel build jobs
# (default: 3).
set -euo pipefail
Root=$(cd "$(dirname "$0")/.." && pwd)
Jobs=${JOBS:-3}
Suppressions=$Root/scripts/sanitize
Failed=0

# check NAME BUILD SANITIZERS: builds, runs the tests, and sets Failed to 1 if a
# test fails or a report exists.
check() {
  local Name=$1 Build=$2 Sanitizers=$3
  cmake -S "$Root" -B "$Build" -G Ninja \
    -DLYCHEETHREAD_SANITIZE="$Sanitizers" >/dev/null
  cmake --build "$Build" -j "$Jobs" --target src/all tests/standins/log/all \
    tests/standins/faultproxy/all tests/robustness/all examples/all EndToEndTests
  rm -rf "$Build/reports"
  mkdir "$Build/reports"
  # Writes reports to files, because a test does not see the output of a node
  # that it started, and not always its exit code.
  local Log=log_path=$Build/reports/report
  export ASAN_OPTIONS=$Log:detect_stack_use_after_return=1
  export LSAN_OPTIONS=suppressions=$Suppressions/leak.txt:print_suppressions=0
  export UBSAN_OPTIONS=$Log:print_stacktrace=1
  export TSAN_OPTIONS=$Log:suppressions=$Suppressions/thread.txt:second_deadlock_stack=1
  local Folder
  for Folder in src tests/standins/log tests/standins/faultproxy \
    tests/robustness examples; do
    runTests "$Name" "$Build/$Folder" .
  done
  runTests "$Name" "$Build/tests/integration" '^EndToEndTests$'
  local Report
  for Report in "$Build"/reports/*; do
    [ -e "$Report" ] || continue
    echo "sanitize: $Name: report $Report" >&2
    head -n 40 "$Report" >&2
    Failed=1
  done
}

# runTests NAME FOLDER PATTERN: runs the tests in the folder whose names match
# the pattern.
runTests() {
  ctest --test-dir "$2" -R "$3" --no-tests=error --output-on-failure ||
    { echo "sanitize: $1: tests in $2 failed" >&2; Failed=1; }
}

Which=${1:-both}
case $Which in
address | thread | both) ;;
*)
  echo "sanitize: \"$Which\" is not address, thread or both" >&2
  exit 2
  ;;
esac
# check must not be called with "||": that would disable set -e inside it, and a
# failed build would no longer end the script.
if [ "$Which" != thread ]; then
  check address "$Root/build-asan" address,undefined
fi
if [ "$Which" != address ]; then
  check thread "$Root/build-tsan" thread
fi
if [ "$Failed" = 0 ]; then
  echo "sanitize: clean"
fi
exit "$Failed"
