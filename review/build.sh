#!/bin/sh
# Builds the stand-ins of the cases, with the standard library only. Run in the repository root.
set -e
mkdir -p target/review
for source in late_refusal dropped_answer config_growth foreign_beat second_rollout; do
    if [ -f "review/stand/$source.rs" ]; then
        rustc --edition 2021 -O -o "target/review/$source" "review/stand/$source.rs"
    fi
done
