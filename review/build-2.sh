#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in slow_reader_at_stop killed_at_first_start departures; do
    rustc --edition 2024 -O -o "target/review-2/$name" "review/stand_ins_2/$name.rs"
done
