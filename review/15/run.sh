#!/bin/sh
# Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || { echo "python3 is needed"; exit 2; }
exec python3 -B case.py
