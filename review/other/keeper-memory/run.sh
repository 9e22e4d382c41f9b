#!/bin/sh
# Run in any folder, after the build of the deploy file and review/build.sh. TROUBLE=0 leaves the added routes out.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/review/config_growth ] || exit 2
exec target/review/config_growth review/other/keeper-memory
