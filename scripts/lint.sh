#!/usr/bin/env bash
# Runs clang-format and clang-tidy on all sources except generated ones. Needs a
# configured build folder (first argument, default: build). With --fix as the
# first argument it only formats the files in place.
set -euo pipefail
cd "$(dirname "$0")/.."
Fix=
[ "${1:-}" = --fix ] && { Fix=1; shift; }
Build=${1:-build}
mapfile -t Files < <(git ls-files --cached --others --exclude-standard \
  '*.cpp' '*.h' | grep -v '/gen/')
if [ -n "$Fix" ]; then
  clang-format -i "${Files[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${Files[@]}"
printf '%s\n' "${Files[@]}" | grep '\.cpp$' |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$Build" --quiet 2>/dev/null
echo "format and lint: clean"
