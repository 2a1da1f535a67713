#!/usr/bin/env bash
# Runs the whole system on loopback: a platform stand-in, two services with three daemons and upstreams in two data
# centres, a promotion, calls, a rollout to a second version and a killed daemon. Prints a table and ends its own
# processes.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "${1:-build}")
work=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

start() { # start NAME PROGRAM ARGUMENTS...
  local name=$1; shift
  "$@" >"$work/$name.out" 2>&1 &
  pids+=($!)
  last_pid=$!
}

fail() {
  echo "demo: $1" >&2
  tail -n 20 "$work"/*.out "$work"/*.log >&2 || true
  exit 1
}

await() { # await SECONDS DESCRIPTION COMMAND...: tries until the command succeeds
  local seconds=$1 what=$2; shift 2
  for _ in $(seq $((seconds * 5))); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.2
  done
  fail "gave up after $seconds s: $what"
}

ctl=("$build/apps/hyssopctl/hyssopctl" --platform "127.0.0.1:18000")
http_get() { # http_get PORT PATH
  exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET %s HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n' "$2" >&3
  cat <&3
  exec 3<&- 3>&-
}
ready() { http_get "$1" /readyz | head -n 1 | grep -q ' 200 '; }

daemon() { # daemon NAME DATA_CENTRE FIRST_PORT
  cat >"$work/$1.json" <<JSON
{"instance": "$1", "data_centre": "$2", "environment": "production",
 "data_address": "127.0.0.1:$3", "control_address": "127.0.0.1:$(($3 + 1))",
 "gossip_address": "127.0.0.1:$(($3 + 1))", "admin_address": "127.0.0.1:$(($3 + 2))",
 "platform": {"endpoints": ["127.0.0.1:18000"]},
 "log_file": "$work/$1.log", "trace_file": "$work/$1.spans"}
JSON
  "$build/apps/hyssopd/hyssopd" --config "$work/$1.json" --check >/dev/null
  start "$1" "$build/apps/hyssopd/hyssopd" --config "$work/$1.json"
}
upstream() { # upstream NAME SERVICE VERSION PORT DAEMON_PORT EXTRA...
  local name=$1 service=$2 version=$3 port=$4 daemon_port=$5; shift 5
  start "$name" "$build/tools/upstream_standin" --service "$service" --version-name "$version" \
    --listen "127.0.0.1:$port" --daemon-admin "127.0.0.1:$((daemon_port + 2))" \
    --daemon-data "127.0.0.1:$daemon_port" "$@"
}

document() { # document ENVIRONMENT ROLLOUT_JSON
  cat <<JSON
{"environment": "$1",
 "services": [
  {"name": "catalogue", "versions": ["v1"], "stable": "v1"},
  {"name": "reservations", "versions": ["v1", "v2"], "stable": "v1"$2}],
 "routes": [
  {"name": "browse", "path_prefix": "/catalogue", "service": "catalogue", "idempotent": true},
  {"name": "hold", "path_prefix": "/reservations", "methods": ["POST"], "service": "reservations"},
  {"name": "look", "path_prefix": "/reservations", "methods": ["GET"], "service": "reservations", "idempotent": true}]}
JSON
}
