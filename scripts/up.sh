#!/usr/bin/env bash
# Starts a small deployment on loopback and keeps it running until Ctrl-C: the
# platform stand-in, three entries, six endpoints and six workers. Prints the
# addresses, and a line that starts with "ready" once the deployment accepts
# operator commands. Stops only the processes that it started.
#   UP_PORT    first port (default 21200)
#   UP_CONFIG  configuration document (default examples/kettle-valley.json)
#   UP_DIR     directory of logs (default up-run)
#   ROSEMARYGAP_OPERATOR_TOKEN  operator token (default empty)
set -u
cd "$(dirname "$0")/.." || exit 1
go build -o bin/ ./cmd/... || exit 1
config=${UP_CONFIG:-examples/kettle-valley.json}
base=${UP_PORT:-21200}
run=${UP_DIR:-up-run}
token=${ROSEMARYGAP_OPERATOR_TOKEN:-}
mkdir -p "$run"
case $config in
*darling-downs*) service=booking zones=(toowoomba warwick ipswich) ;;
*) service=catalogue zones=(kelowna vernon penticton) ;;
esac
pids=()

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  echo "process name=$name pid=$! log=$run/$name.log"
}

stop_all() {
  trap - EXIT INT TERM
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null; done
  echo "stopped"
  exit "${1:-0}"
}
trap 'stop_all 0' INT TERM
trap 'stop_all 1' EXIT

platform=127.0.0.1:$base
start platform bin/rosemarygap-standin platform --listen $platform
entries=()
for i in 0 1 2; do entries+=(127.0.0.1:$((base + 10 + i))); done
peers=(--peer)
for i in 0 1 2; do peers+=(127.0.0.1:$((base + 30 + i))); done
for i in 0 1 2; do
  start entry-$i bin/rosemarygap entry --id entry-$i --zone ${zones[$i]} \
    --caller-listen ${entries[$i]} --operator-listen 127.0.0.1:$((base + 20 + i)) \
    --peer-listen 127.0.0.1:$((base + 30 + i)) --admin-listen 127.0.0.1:$((base + 40 + i)) \
    --platform $platform "${peers[@]}" --stop-delay 500ms --operator-token "$token"
done
for i in 0 1 2 3 4 5; do
  start endpoint-$i bin/rosemarygap-standin endpoint --listen 127.0.0.1:$((base + 50 + i)) \
    --id endpoint-$i --service $service --zone ${zones[$((i % 3))]} --seed $((i + 1)) --entry "${entries[@]}"
  start worker-$i bin/rosemarygap-standin worker --listen 127.0.0.1:$((base + 70 + i)) \
    --id worker-$i --zone ${zones[$((i % 3))]} --rack rack-$((i / 3)) --entry "${entries[@]}"
done

operator=127.0.0.1:$((base + 20))
for _ in $(seq 100); do
  bin/rosemarygap apply "$config" --entry $operator --token "$token" --change-id up-first --revision 0 \
    --wait --wait-limit 20s >"$run/apply.json" 2>"$run/apply.log" && break
  sleep 0.2
done
[ -s "$run/apply.json" ] || { cat "$run/apply.log"; exit 1; }
# Waits until each cell has an owner, because until then the jobs command fails.
for _ in $(seq 100); do
  bin/rosemarygap jobs --entry $operator >/dev/null 2>&1 && break
  sleep 0.2
done
for p in "${pids[@]}"; do
  kill -0 "$p" 2>/dev/null || { echo "process $p has ended; is one of the ports $base to $((base + 75)) in use? see $run"; exit 1; }
done
for i in 0 1 2; do
  echo "console http://127.0.0.1:$((base + 20 + i))/"
  echo "callers http://${entries[$i]}/services/$service/"
done
echo "ready operator=$operator"
wait
