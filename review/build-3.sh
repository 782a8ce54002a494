#!/bin/sh
# Builds what the scripts of review/11 to review/15 start besides the program of
# the deploy file: stand-ins in Python, which are only checked for errors.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
for File in lib3/*.py 1[1-5]/run.py; do
  if [ -f "$File" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$File"
  fi
done
test -x ../target/src/app/lycheethread || {
  echo "the program of the deploy file has not been built"
  exit 1
}
