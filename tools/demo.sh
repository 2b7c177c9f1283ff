#!/usr/bin/env bash
# Runs a deployment of separate processes on loopback: a platform and a fabric, 8 balancers in 3 failure domains and 18
# backend servers. Sends load for about 10 s, prints a table of the results, and exits 0 only if every check passed.
# KILL=1 kills one balancer with kill -9 halfway through the load. Logs and settings are kept in .demo.
set -euo pipefail
cd "$(dirname "$0")/.."

KILL="${KILL:-}"
KILL_BALANCER="${KILL_BALANCER:-1}" # index of the balancer that KILL=1 kills
BASE_PORT="${BASE_PORT:-21000}"
SECONDS_OF_LOAD="${SECONDS_OF_LOAD:-10}"
BACKEND_FLAGS="${BACKEND_FLAGS:-}" # additional flags for standin backend
CALLER_FLAGS="${CALLER_FLAGS:-}"   # additional flags for standin caller
READY_LIMIT=30s
REQUEST_TIMEOUT=5 # seconds
STOP_LIMIT=10 # seconds after SIGTERM until processes that still run get SIGKILL

BALANCERS=8
DOMAINS=3
REMINDERS=14
RENDERING=4
SLOTS="${SLOTS:-3}"
CONNECTIONS=2000
# These rates keep 70 % of the slots busy: the mean service time is 40 ms * exp(0.5^2 / 2) = 45.3 ms.
REMINDERS_RATE="${REMINDERS_RATE:-648}"
RENDERING_RATE="${RENDERING_RATE:-185}"

HOST=127.0.0.1
REMINDERS_SERVICE=10.1.0.1:80
RENDERING_SERVICE=10.1.0.2:80
PLATFORM="$HOST:$BASE_PORT"
REMINDERS_CALLERS="$HOST:$((BASE_PORT + 1))"
RENDERING_CALLERS="$HOST:$((BASE_PORT + 2))"
FABRIC="$HOST:$((BASE_PORT + 3))"
FABRIC_CONTROL="$HOST:$((BASE_PORT + 4))"
DIRECTORY=.demo

caller_address() { echo "$HOST:$((BASE_PORT + 100 + $1))"; }
peer_address() { echo "$HOST:$((BASE_PORT + 200 + $1))"; }
operator_address() { echo "$HOST:$((BASE_PORT + 300 + $1))"; }
endpoint_address() { echo "$HOST:$((BASE_PORT + 400 + $1))"; }
endpoint_control() { echo "$HOST:$((BASE_PORT + 500 + $1))"; }
domain_of() { echo "attiki-$(($1 % DOMAINS + 1))"; }

pids=()
declare -A balancer_pid

# start NAME COMMAND... runs a process in the background, with its output in $DIRECTORY/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$DIRECTORY/$name.log" 2>&1 &
  last_pid=$!
  pids+=("$last_pid")
}

running() {
  local pid
  for pid in "${pids[@]}"; do
    if kill -0 "$pid" 2>/dev/null; then return 0; fi
  done
  return 1
}

stop_all() {
  local status=$? pid
  trap - EXIT
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  local end=$((SECONDS + STOP_LIMIT))
  while running && [ "$SECONDS" -lt "$end" ]; do sleep 0.1; done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ]; then echo "demo: failed with exit code $status, see the logs in $DIRECTORY" >&2; fi
  exit "$status"
}

write_settings() {
  local i j
  for ((i = 0; i < BALANCERS; i++)); do
    {
      echo "id: balancer-$i"
      echo "failure_domain: $(domain_of "$i")"
      echo "caller_address: $(caller_address "$i")"
      echo "fabric_address: $FABRIC"
      echo "peer_address: $(peer_address "$i")"
      echo "operator_address: $(operator_address "$i")"
      echo "platform: http://$PLATFORM"
      echo "peers:"
      for ((j = 0; j < BALANCERS; j++)); do
        if [ "$j" -ne "$i" ]; then echo "  - $(peer_address "$j")"; fi
      done
      echo "ticket_keys:"
      echo "  - id: 1"
      echo "    secret: 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
    } >"$DIRECTORY/balancer-$i.yaml"
  done
}

# write_pool NAME FIRST COUNT prints the pool of a service, whose endpoints are spread over the failure domains.
write_pool() {
  local i
  echo "  - name: $1"
  echo "    service: $1"
  echo "    endpoints:"
  for ((i = $2; i < $2 + $3; i++)); do
    echo "      - address: $(endpoint_address "$i")"
    echo "        failure_domain: $(domain_of "$i")"
    echo "        slots: $SLOTS"
    echo "        connections: $CONNECTIONS"
  done
}

write_tables() {
  {
    echo "version: 0"
    echo "routes:"
    echo "  - name: reminders"
    echo "    address: $REMINDERS_SERVICE"
    echo "    service: reminders"
    echo "    pool: reminders"
    echo "  - name: rendering"
    echo "    address: $RENDERING_SERVICE"
    echo "    service: rendering"
    echo "    pool: rendering"
    echo "pools:"
    write_pool reminders 0 "$REMINDERS"
    write_pool rendering "$REMINDERS" "$RENDERING"
  } >"$DIRECTORY/tables.yaml"
}

start_fabric() {
  local arguments=(--address "$REMINDERS_SERVICE=$REMINDERS_CALLERS" --address "$RENDERING_SERVICE=$RENDERING_CALLERS"
    --listen "$FABRIC" --control "$FABRIC_CONTROL" --seed 1) i
  for ((i = 0; i < BALANCERS; i++)); do
    arguments+=(--balancer "$(caller_address "$i")" --health "$(caller_address "$i")=http://$(operator_address "$i")")
  done
  start fabric bin/standin fabric "${arguments[@]}"
}

start_backends() {
  local i service
  for ((i = 0; i < REMINDERS + RENDERING; i++)); do
    service=reminders
    if [ "$i" -ge "$REMINDERS" ]; then service=rendering; fi
    start "backend-$i" bin/standin backend --listen "$(endpoint_address "$i")" --control "$(endpoint_control "$i")" \
      --service "$service" --slots "$SLOTS" --seed 1 $BACKEND_FLAGS
    backend_urls+=("http://$(endpoint_control "$i")")
  done
}

rm -rf "$DIRECTORY"
mkdir -p "$DIRECTORY"
trap stop_all EXIT
trap 'exit 130' INT TERM
write_settings
write_tables

backend_urls=()
start platform bin/standin platform --listen "$PLATFORM"
start_backends
start_fabric
bin/standin wait --limit "$READY_LIMIT" "http://$PLATFORM/control/counters" "${backend_urls[@]/%//readyz}"
bin/cornellb apply --platform "http://$PLATFORM" "$DIRECTORY/tables.yaml"

balancer_urls=()
for ((i = 0; i < BALANCERS; i++)); do
  start "balancer-$i" bin/cornellb balancer --settings "$DIRECTORY/balancer-$i.yaml"
  balancer_pid[$i]=$last_pid
  balancer_urls+=("http://$(operator_address "$i")/readyz")
done
bin/standin wait --limit "$READY_LIMIT" "${balancer_urls[@]}" "http://$FABRIC_CONTROL/readyz"

start caller bin/standin caller --duration "${SECONDS_OF_LOAD}s" --timeout "${REQUEST_TIMEOUT}s" --seed 1 \
  --result "$DIRECTORY/result.json" \
  --target "reminders=$REMINDERS_CALLERS" --rate "reminders=$REMINDERS_RATE" --feeds reminders=12 \
  --target "rendering=$RENDERING_CALLERS" --rate "rendering=$RENDERING_RATE" --feeds rendering=2 $CALLER_FLAGS
caller_pid=$last_pid
checks=(--broken-flows 0 --answered 0.95)
if [ -n "$KILL" ] && [ "$KILL" != 0 ]; then
  # An unplanned loss may break flows, and requests to the lost owner have no answer until its loss is detected (about
  # 4 s). An owner of 2 of the 6 pool shards holds a third of the load for 4 of 10 s (13 %); the bound is twice that.
  checks=(--answered 0.73)
  sleep $((SECONDS_OF_LOAD / 2))
  kill -KILL "${balancer_pid[$KILL_BALANCER]}"
  wait "${balancer_pid[$KILL_BALANCER]}" 2>/dev/null || true # suppresses bash's message about the killed process
  echo "demo: killed balancer-$KILL_BALANCER"
fi
wait "$caller_pid"
# A faulty balancer could still run a request that it reported as not run, until the timeout of the request has passed.
# The reports are read only then, so that the verdict sees it.
sleep "$REQUEST_TIMEOUT"
bin/standin verdict --result "$DIRECTORY/result.json" "${checks[@]}" "${backend_urls[@]/#/--backend=}"
