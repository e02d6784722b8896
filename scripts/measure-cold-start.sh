#!/usr/bin/env bash
# Measures calls to a target with a cold start: for 3 s it handles one call at a time, and more than 4 concurrent calls
# restart the cold start. Sends 300 calls a second for 10 s, each with a deadline of 1 s.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
export KINGCUPLIFT_SITE=$root/target/cold-site
bin=${KINGCUPLIFT_BIN:-$root/target/release}
sources=127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103
"$root/scripts/local-site.sh" up --fresh >/dev/null
trap '"$root/scripts/local-site.sh" down' EXIT
"$bin/kingcuplift" --sources "$sources" submit "$root/examples/local-site/lanka.json" --base 0 --wait 2>/dev/null
"$root/scripts/local-site.sh" kill target-4-v1
sleep 8
export KINGCUPLIFT_TARGET_FLAGS="--service-ms 10 --cold-ms 3000 --cold-breaks 4"
"$root/scripts/local-site.sh" start target-4-v1
sleep 0.3
"$bin/examples/stand_in_caller" --to 127.0.0.1:7204 --mix "GET /availability 1 3" --rate 300 --concurrency 256 \
  --seconds 10 --warmup 0 --json
