#!/usr/bin/env bash
# Shows the same fault on the way back (MIXED); exit codes as those of run.sh.
Case=$(cd "$(dirname "$0")" && pwd) || exit 2
exec python3 -B "$Case/answer.py"
