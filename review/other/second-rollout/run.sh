#!/bin/sh
# Run in any folder, after the build of the deploy file and review/build.sh. TROUBLE=0: the first rollout is good.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/review/second_rollout ] || exit 2
exec target/review/second_rollout review/other/second-rollout
