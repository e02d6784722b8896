#!/usr/bin/env bash
# Measures the load that COUNT nodes put on a relay, or COUNT relays on the source, with a full-size configuration.
#
#   scripts/measure-capacity.sh nodes COUNT [FLAGS of light_fleet]
#   scripts/measure-capacity.sh relays COUNT [FLAGS of light_fleet]
#
# Starts three source members and one relay in an empty folder and prints the JSON report of light_fleet.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
export KINGCUPLIFT_SITE=$root/target/capacity-site
bin=${KINGCUPLIFT_BIN:-$root/target/release}
site=$KINGCUPLIFT_SITE
kind=$1 count=$2
shift 2

"$root/scripts/local-site.sh" down
rm -rf "$site"
mkdir -p "$site/run"
echo lanka >"$site/set"
"$bin/kingcuplift" keys init --dir "$site/keys"
for name in source-1 source-2 source-3 relay-1 relay-2 node-1 node-2 node-3 node-4; do
  "$bin/kingcuplift" keys issue --dir "$site/keys" --name "$name" --zone colombo-a --roles "${name%-*}"
done
"$bin/kingcuplift" keys issue --dir "$site/keys" --name fleet --zone colombo-a --roles node,relay
for name in source-1 source-2 source-3 relay-1; do "$root/scripts/local-site.sh" start "$name"; done
trap '"$root/scripts/local-site.sh" down' EXIT

leader=
for _ in $(seq 100); do
  for port in 7101 7102 7103; do
    if curl -s "http://127.0.0.1:$port/healthz" | grep -q '"role":"leader"'; then leader=$port; fi
  done
  [ -n "$leader" ] && break
  sleep 0.1
done
watch=
for name in source-1 source-2 source-3 relay-1; do
  label=$name
  [ "$name" = "source-$((leader - 7100))" ] && label=leader
  read -r pid _ <"$site/run/$name.pid"
  watch+="$label=$pid,"
done
case $kind in
  nodes) to=127.0.0.1:7121 extra= ;;
  relays) to=127.0.0.1:7111,127.0.0.1:7112,127.0.0.1:7113 extra=--relays ;;
esac
# shellcheck disable=SC2086
"$bin/examples/light_fleet" --keys "$site/keys" --name fleet --to "$to" --source "127.0.0.1:$leader" \
  --count "$count" --fill --watch "${watch%,}" $extra "$@"
