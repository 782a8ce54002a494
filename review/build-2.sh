#!/bin/sh
# Builds what the scripts of review/6 to review/9 start besides the program of
# the deploy file: stand-ins in Python, which are only checked for errors.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
for File in lib2/*.py [6-9]/run.py; do
  if [ -f "$File" ]; then
    python3 - "$File" <<'PYTHON'
import sys
with open(sys.argv[1]) as source:
    compile(source.read(), sys.argv[1], "exec")
PYTHON
  fi
done
