#!/bin/sh
# Builds the stand-ins of the cases; the build of the deploy file comes first. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand_ins/*.rs; do
  name=$(basename "$source" .rs)
  [ "$name" = site ] && continue
  rustc --edition 2024 -O -o "target/review/$name" "$source"
done
