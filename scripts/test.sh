#!/usr/bin/env bash
# Installs the packages, builds, checks format and lint, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
Build=${BUILD_DIR:-build}
scripts/install-packages.sh
cmake -S . -B "$Build" -G Ninja >/dev/null
cmake --build "$Build" -j "$(nproc)"
scripts/lint.sh "$Build"
ctest --test-dir "$Build" --output-on-failure -j 4
