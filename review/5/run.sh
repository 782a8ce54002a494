#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
Case=$(cd "$(dirname "$0")" && pwd) || exit 2
exec python3 -B "$Case/case.py"
