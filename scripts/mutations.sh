#!/usr/bin/env bash
# Applies each defect of scripts/mutations.txt to a copy of the packages and prints the tests that detect it.
#
#   scripts/mutations.sh [PATTERN]
set -euo pipefail
cd "$(dirname "$0")/.."
copy=target/mutations/tree
mkdir -p "$copy"
missed=0
while IFS= read -r line; do
  case $line in '' | '#'*) continue ;; esac
  line=${line//'\|'/$'\x01'}
  IFS='|' read -r name file from to <<<"$line"
  trim() { local t=$1; t=${t#"${t%%[![:space:]]*}"}; t=${t%"${t##*[![:space:]]}"}; echo "${t//$'\x01'/|}"; }
  name=$(trim "$name") file=$(trim "$file") from=$(trim "$from") to=$(trim "$to")
  [[ $name == *${1:-}* ]] || continue
  cp -a --no-preserve=timestamps Cargo.toml Cargo.lock "$copy/"
  rm -rf "$copy/crates" "$copy/platform"
  cp -a crates platform "$copy/"
  FROM=$(printf '%b' "$from") TO=$(printf '%b' "$to") perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/ or die "text not found\n"' "$copy/crates/$file"
  touch "$copy/crates/$file"
  package=kingcuplift-${file%%/*}
  output=$(cd "$copy" && CARGO_TARGET_DIR=../build cargo test -q -p "$package" --no-fail-fast 2>&1) || true
  caught=$(grep -E '^    [a-z_]+(::.*)?$' <<<"$output" | sed 's/::.*//' | sort | uniq -c | awk '{print $2" ("$1")"}' | paste -sd' ' || true)
  if [ -z "$caught" ] && grep -q '^error' <<<"$output"; then caught="does not compile: $(grep -m1 '^error' <<<"$output")"; fi
  if [ -z "$caught" ]; then missed=$((missed + 1)); caught="NOT CAUGHT"; fi
  echo "$name: $caught"
done <scripts/mutations.txt
exit "$((missed > 0))"
