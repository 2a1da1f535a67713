#!/usr/bin/env bash
# Demonstrates the whole system on loopback: starts a platform stand-in and two services with three daemons and their
# upstreams in two data centres, promotes a document, sends calls, rolls out a second version and kills a daemon.
# Prints a table of the results and stops the processes that it started. Usage: demo.sh [BUILD_FOLDER]
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

await() { # await SECONDS DESCRIPTION COMMAND...: repeats the command until it succeeds
  local seconds=$1 what=$2; shift 2
  for _ in $(seq $((seconds * 5))); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.2
  done
  fail "timeout after $seconds s: $what"
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
  "$build/apps/hyssopd/hyssopd" --settings "$work/$1.json" --check >/dev/null
  start "$1" "$build/apps/hyssopd/hyssopd" --settings "$work/$1.json"
}
upstream() { # upstream NAME SERVICE VERSION PORT DAEMON_PORT EXTRA...
  local name=$1 service=$2 version=$3 port=$4 daemon_port=$5; shift 5
  start "$name" "$build/tools/upstream_standin" --service "$service" --version "$version" \
    --listen "127.0.0.1:$port" --admin "127.0.0.1:$((daemon_port + 2))" \
    --daemon "127.0.0.1:$daemon_port" --latency-ms 2 "$@"
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

calls() { # calls NAME ADDRESSES METHOD PATH RATE SECONDS EXTRA...
  local name=$1 addresses=$2 method=$3 path=$4 rate=$5 seconds=$6; shift 6
  "$build/tools/load_generator" --address "$addresses" --method "$method" --path "$path" \
    --rate "$rate" --duration "$seconds" "$@" >"$work/$name.json" 2>"$work/$name.err" ||
    fail "calls $name: $(cat "$work/$name.json" "$work/$name.err")"
  printf '%-34s %s\n' "$name" "$(cat "$work/$name.json")"
}

step() { printf '\n== %s\n' "$1"; }

step "Start the platform stand-in, three daemons in two data centres, and their upstreams"
start platform "$build/tools/platform_standin" --listen 127.0.0.1:18000 --admin 127.0.0.1:18001
daemon catalogue-0 dc1 18100
daemon reservations-0 dc1 18110
daemon reservations-1 dc2 18120
last_daemon_v1=$(printf '%s\n' "${pids[@]}" | sed -n 3p)
upstream catalogue catalogue v1 18200 18100
upstream reservations-v1 reservations v1 18210 18110 --nested /catalogue/size-charts
upstream reservations-v2 reservations v2 18220 18120 --nested /catalogue/size-charts

step "Validate, try and promote a document"
document trial "" >"$work/document.json"
"${ctl[@]}" validate "$work/document.json"
await 15 "trial document accepted" "${ctl[@]}" trial "$work/document.json"
"${ctl[@]}" promote
for port in 18102 18112 18122; do await 20 "daemon $port ready" ready $port; done
"${ctl[@]}" status --wait --timeout 30 || fail "version 1 is not in force everywhere"

step "Reject an invalid document"
sed 's/"service": "catalogue", "idempotent"/"service": "catalog", "idempotent"/' "$work/document.json" >"$work/bad.json"
if "${ctl[@]}" validate "$work/bad.json"; then fail "a route to a missing service was accepted"; fi

all=127.0.0.1:18100,127.0.0.1:18110,127.0.0.1:18120
await 10 "calls to reservations" bash -c "$(declare -f http_get); http_get 18100 /reservations/1 | head -n 1 | grep -q ' 200 '"
step "Send calls through all daemons (reservations calls the catalogue)"
calls "browse the catalogue" $all GET /catalogue/kilts 100 3
calls "hold, each key sent twice" $all POST /reservations/hold 50 3 --keys demo --repeat 2

step "Move reservations from v1 to v2 within 90 s"
document trial ', "rollout": {"to": "v2", "complete_within_s": 90, "initial_share": 0.02}' >"$work/rollout.json"
"${ctl[@]}" trial "$work/rollout.json"
"${ctl[@]}" diff
"${ctl[@]}" promote
calls "during the rollout" $all GET /reservations/7 200 80
"${ctl[@]}" status | tee "$work/rollout.status"
grep -q "share 100%, complete" "$work/rollout.status" || fail "the rollout is not complete"
"${ctl[@]}" explain reservations
calls "after the rollout" $all GET /reservations/7 100 2
grep -q '"v2"' "$work/after the rollout.json" || fail "no traffic at v2"

step "Kill the daemon of the v1 upstream"
kill -9 "$last_daemon_v1"
calls "with a killed daemon" 127.0.0.1:18100,127.0.0.1:18120 GET /reservations/7 100 5
if grep -q '"502"\|"503"\|"504"' "$work/with a killed daemon.json"; then fail "calls failed after a daemon was killed"; fi

step "Trace of one call, with a span for each hop"
cat "$work"/*.spans | tail -n 4 | cut -c 1-200

step "Summary"
value() { # value NAME KEY: prints a field of the result of the load generator
  sed -n "s/.*\"$2\":\({[^}]*}\|[0-9.]*\).*/\1/p" "$work/$1.json"
}
row() { printf '| %-28s | %8s | %-22s | %-26s | %9s |\n' "$@"; }
row calls sent outcomes versions "p99 in ms"
for name in "browse the catalogue" "hold, each key sent twice" "during the rollout" "after the rollout" \
  "with a killed daemon"; do
  row "$name" "$(value "$name" sent)" "$(value "$name" by_outcome)" "$(value "$name" by_version)" \
    "$(value "$name" p99_ms | cut -c 1-6)"
done
"${ctl[@]}" status
echo "demo: done"
