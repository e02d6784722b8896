#!/usr/bin/env bash
# Measures the source: versions per second, recovery time of a member after many versions, time without a leader.
#
#   scripts/measure-source.sh [VERSIONS]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
export KINGCUPLIFT_SITE=$root/target/source-site
bin=${KINGCUPLIFT_BIN:-$root/target/release}
site=$KINGCUPLIFT_SITE
versions=${1:-100000}

"$root/scripts/local-site.sh" down
rm -rf "$site"
mkdir -p "$site/run"
echo lanka >"$site/set"
"$bin/kingcuplift" keys init --dir "$site/keys"
for name in source-1 source-2 source-3 relay-1; do
  "$bin/kingcuplift" keys issue --dir "$site/keys" --name "$name" --zone colombo-a --roles "${name%-*}"
done
"$bin/kingcuplift" keys issue --dir "$site/keys" --name fleet --zone colombo-a --roles node,relay
for name in source-1 source-2 source-3 relay-1; do "$root/scripts/local-site.sh" start "$name"; done
trap '"$root/scripts/local-site.sh" down' EXIT

leader_port() {
  local port
  for port in 7101 7102 7103; do
    if curl -s -m 1 "http://127.0.0.1:$port/healthz" | grep -q '"role":"leader"'; then echo "$port"; return; fi
  done
}
wait_leader() { until leader=$(leader_port) && [ -n "$leader" ]; do sleep 0.02; done; }
now_ms() { date +%s%3N; }

wait_leader
"$bin/examples/light_fleet" --keys "$site/keys" --name fleet --to 127.0.0.1:7121 --source "127.0.0.1:$leader" \
  --count 1 --fill --idle 1 --changes 1 >/dev/null
for operators in 1 32; do
  "$bin/examples/operators_load" --to "127.0.0.1:$leader" --operators "$operators" --seconds 8 --probe "$site"
done
"$bin/examples/operators_load" --to "127.0.0.1:$leader" --operators 64 --seconds 300 --versions "$versions"
echo "disk bytes: $(du -sb "$site/data/source-1" | cut -f1)"
name=source-$((leader - 7100))
read -r pid _ <"$site/run/$name.pid"
grep VmRSS "/proc/$pid/status"
"$bin/kingcuplift" --sources "127.0.0.1:$leader" versions --limit 0
for round in 1 2 3 4 5; do
  name=source-$((leader - 7100))
  started_ms=$(now_ms)
  "$root/scripts/local-site.sh" kill "$name"
  old=$leader
  until leader=$(leader_port) && [ -n "$leader" ] && [ "$leader" != "$old" ] &&
    "$bin/kingcuplift" --patience 0 --sources "127.0.0.1:$leader" versions --limit 0 >/dev/null 2>&1; do sleep 0.01; done
  echo "without a leader, round $round: $(($(now_ms) - started_ms)) ms"
  started_ms=$(now_ms)
  "$root/scripts/local-site.sh" start "$name"
  until curl -s -m 1 "http://127.0.0.1:$old/healthz" | grep -q '"role":"follower"'; do sleep 0.01; done
  echo "recovery: $(($(now_ms) - started_ms)) ms"
  sleep 3
done
