#!/bin/sh
# Run in any folder, after the build of the deploy file and review/build.sh. TROUBLE=0 leaves the burst out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/dropped_answer ] || exit 2
exec target/review/dropped_answer review/2
