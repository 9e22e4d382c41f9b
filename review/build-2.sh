#!/bin/sh
# Builds what the scripts of the second review (review/6 and later) start. Their stand-ins are written in Python with
# its standard library alone (review/stand-2/), so there is nothing to compile: this checks that they load.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 is needed"; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "stand-2"); import harness'
