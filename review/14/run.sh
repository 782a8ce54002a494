#!/bin/sh
# Writes record.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec python3 run.py
