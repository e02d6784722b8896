#!/usr/bin/env bash
# Runs a complete site on this machine: three source members, two relays, four nodes, four targets.
#
#   scripts/local-site.sh up [--fresh] [--set lanka|vn-south]
#   scripts/local-site.sh down | status
#   scripts/local-site.sh kill NAME | start NAME
#
# Names are source-1..3, relay-1..2, node-1..4, target-1..4-v1 and target-1..4-v2. Targets of version v2
# are started on demand. Data, keys, logs and process ids are kept under $KINGCUPLIFT_SITE (default:
# target/local-site). Binaries are taken from $KINGCUPLIFT_BIN (default: target/release).
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
site=${KINGCUPLIFT_SITE:-$root/target/local-site}
bin=${KINGCUPLIFT_BIN:-$root/target/release}
settings=$root/examples/local-site
sources=(source-1 source-2 source-3)
relays=(relay-1 relay-2)
nodes=(node-1 node-2 node-3 node-4)
targets=(target-1-v1 target-2-v1 target-3-v1 target-4-v1)
started_by_up=("${sources[@]}" "${relays[@]}" "${nodes[@]}" "${targets[@]}")

pid_file() { echo "$site/run/$1.pid"; }

# Prints the process id if the process is running; the start time shows that the id was not reused by another process.
running_pid() {
  local file pid started
  file=$(pid_file "$1")
  [ -f "$file" ] || return 1
  read -r pid started <"$file"
  [ "$(start_time "$pid")" = "$started" ] && echo "$pid"
}

# Prints the start time of a process, in clock ticks since boot.
start_time() {
  [ -r "/proc/$1/stat" ] || return 0
  local stat
  stat=$(cat "/proc/$1/stat" 2>/dev/null) || return 0
  set -- ${stat##*) }
  [ "$1" != Z ] && echo "${20}"
}

zone_of() {
  grep -o '"zone": *"[^"]*"' "$settings/$1.json" | cut -d'"' -f4
}

issue_keys() {
  [ -f "$site/keys/ca.pem" ] || "$bin/kingcuplift" keys init --dir "$site/keys"
  local name
  for name in "${sources[@]}" "${relays[@]}" "${nodes[@]}"; do
    [ -f "$site/keys/$name.pem" ] || "$bin/kingcuplift" keys issue --dir "$site/keys" \
      --name "$name" --zone "$(zone_of "$name")" --roles "${name%-*}"
  done
}

service_of() {
  case "$(cat "$site/set"):$1" in
    lanka:4) echo tutor-roster ;;
    lanka:*) echo lessons-desk ;;
    vn-south:4) echo inventory ;;
    *) echo orders ;;
  esac
}

start_one() {
  local name=$1 number version port
  running_pid "$name" >/dev/null && return 0
  mkdir -p "$site/run" "$site/logs"
  cd "$site"
  case $name in
    source-[1-3] | relay-[1-2] | node-[1-4])
      "$bin/kingcupliftd" --settings "$settings/$name.json" >>"logs/$name.log" 2>&1 </dev/null &
      ;;
    target-[1-4]-v[12])
      number=${name#target-}
      number=${number%-*}
      version=${name##*-}
      port=$((9000 + number))
      [ "$version" = v1 ] || port=$((9010 + number))
      # Extra flags for one target: KINGCUPLIFT_TARGET_FLAGS.
      # shellcheck disable=SC2086
      "$bin/examples/stand_in_target" --listen "127.0.0.1:$port" --version "$version" \
        --admin "127.0.0.1:$((7300 + number))" --service "$(service_of "$number")" \
        ${KINGCUPLIFT_TARGET_FLAGS:-} >>"logs/$name.log" 2>&1 </dev/null &
      ;;
    *)
      echo "local-site: unknown process $name" >&2
      return 2
      ;;
  esac
  echo "$! $(start_time $!)" >"$(pid_file "$name")"
}

health_url() {
  local number=${1#*-}
  case $1 in
    source-*) echo "127.0.0.1:710$number/healthz" ;;
    relay-*) echo "127.0.0.1:713$number/healthz" ;;
    node-*) echo "127.0.0.1:730$number/healthz" ;;
    target-*-v1) echo "127.0.0.1:900${number%-*}/healthz" ;;
    target-*-v2) echo "127.0.0.1:901${number%-*}/healthz" ;;
  esac
}

wait_ready() {
  local name tries
  for name in "$@"; do
    for ((tries = 0; tries < 200; tries++)); do
      [ "$(curl -s -o /dev/null -m 1 -w '%{http_code}' "http://$(health_url "$name")")" = 200 ] && continue 2
      running_pid "$name" >/dev/null || break
      sleep 0.1
    done
    echo "local-site: $name is not ready; see $site/logs/$name.log" >&2
    return 1
  done
}

# Waits until the source lists the targets that `up` starts.
wait_targets() {
  local tries
  for ((tries = 0; tries < 100; tries++)); do
    [ "$("$bin/kingcuplift" --sources "$(source_addresses)" targets 2>/dev/null | grep -c ' ready ')" -ge "${#targets[@]}" ] && return 0
    sleep 0.1
  done
  echo "local-site: the source does not list all targets" >&2
  return 1
}

source_addresses() { echo 127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103; }

up() {
  local fresh=no set=lanka
  while [ $# -gt 0 ]; do
    case $1 in
      --fresh) fresh=yes ;;
      --set) set=$2; shift ;;
      *) echo "local-site: unknown argument $1" >&2; return 2 ;;
    esac
    shift
  done
  if [ "$fresh" = yes ]; then
    down
    rm -rf "$site"
  fi
  mkdir -p "$site"
  echo "$set" >"$site/set"
  issue_keys
  for name in "${started_by_up[@]}"; do start_one "$name"; done
  wait_ready "${started_by_up[@]}"
  wait_targets
  status
}

# Stops a process with SIGTERM and waits until it has exited; kills it after 10 s.
stop_one() {
  local pid tries
  pid=$(running_pid "$1") || { rm -f "$(pid_file "$1")"; return 0; }
  kill -TERM "$pid" 2>/dev/null || true
  for ((tries = 0; tries < 100; tries++)); do
    running_pid "$1" >/dev/null || break
    sleep 0.1
  done
  pid=$(running_pid "$1") && kill -KILL "$pid"
  rm -f "$(pid_file "$1")"
}

down() {
  local file name group
  [ -d "$site/run" ] || return 0
  for group in target node relay source; do
    local jobs=()
    for file in "$site/run/$group"-*.pid; do
      [ -e "$file" ] || continue
      name=$(basename "$file" .pid)
      stop_one "$name" &
      jobs+=($!)
    done
    [ ${#jobs[@]} -eq 0 ] || wait "${jobs[@]}" || true
  done
}

status() {
  local file name pid
  for file in "$site/run"/*.pid; do
    [ -e "$file" ] || continue
    name=$(basename "$file" .pid)
    if pid=$(running_pid "$name"); then echo "$name running $pid"; else echo "$name stopped -"; fi
  done
}

case ${1:-} in
  up) shift; up "$@" ;;
  down) down ;;
  status) status ;;
  kill) pid=$(running_pid "${2:?process name is missing}") || { echo "local-site: $2 is not running" >&2; exit 1; }
    kill -KILL "$pid" ;;
  start) start_one "${2:?process name is missing}" ;;
  *) sed -n '2,10s/^# \{0,1\}//p' "$0" >&2; exit 2 ;;
esac
