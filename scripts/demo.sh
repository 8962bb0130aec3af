#!/usr/bin/env bash
# Starts a small deployment on loopback and runs the demo against it, with the
# configuration examples/kettle-valley.json. During the demo the script injects three
# faults: it kills an entry, kills a worker, and takes the platform stand-in, which
# provides the key-value service, down for five seconds. It stops only the processes that it
# started.
#   DEMO_PORT  first port (default: a range of ports that nothing listens on)
set -u
cd "$(dirname "$0")/.." || exit 1
go build -o bin/ ./cmd/... || exit 1
run=demo-run
rm -rf "$run" && mkdir -p "$run"
base=${DEMO_PORT:-}
# Executions side by side, such as those of two clones, begin at different ranges.
for ((i = 0; i < 50 && ${#base} == 0; i++)); do
  port=$((22000 + (($$ + i) % 50) * 100))
  (exec 3<>/dev/tcp/127.0.0.1/$port) 2>/dev/null || base=$port
done
zones=(kelowna vernon penticton)
pids=()

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}

stop_all() {
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null; done
} 2>/dev/null
trap stop_all EXIT

platform=127.0.0.1:$((base))
start platform bin/rosemarygap-standin platform --listen $platform
entries=() operators=() endpoints=() workers=()
for i in 0 1 2; do
  entries+=(127.0.0.1:$((base + 10 + i)))
  operators+=(127.0.0.1:$((base + 20 + i)))
done
for i in 0 1 2; do
  start entry-$i bin/rosemarygap entry --id entry-$i --zone ${zones[$i]} \
    --caller-listen ${entries[$i]} --operator-listen ${operators[$i]} \
    --peer-listen 127.0.0.1:$((base + 30 + i)) --admin-listen 127.0.0.1:$((base + 40 + i)) \
    --platform $platform --stop-delay 500ms
done
for i in 0 1 2 3 4 5; do
  a=127.0.0.1:$((base + 50 + i))
  endpoints+=($a)
  start endpoint-$i bin/rosemarygap-standin endpoint --listen $a --id endpoint-$i \
    --service catalogue --zone ${zones[$((i % 3))]} --seed $((i + 1)) --entry "${entries[@]}"
  a=127.0.0.1:$((base + 70 + i))
  # The demo reads the executed tasks from all workers but worker-3, which is killed.
  [ $i -eq 3 ] || workers+=($a)
  start worker-$i bin/rosemarygap-standin worker --listen $a --id worker-$i \
    --zone ${zones[$((i % 3))]} --rack rack-$((i / 3)) --entry "${entries[@]}"
done

# Injects one fault at a time, with a pause in which the deployment recovers.
faults() {
  until [ -e "$run/load-started" ]; do sleep 0.1; done
  sleep 3
  kill -KILL $pid_entry_0
  sleep 8
  kill -KILL $pid_worker_3
  sleep 3
  bin/rosemarygap-standin fault --at $platform '{"down":true}'
  sleep 5
  bin/rosemarygap-standin fault --at $platform '{"down":false}'
}
faults >"$run/faults.log" 2>&1 &
pids+=($!)

bin/rosemarygap-demo --entry "${entries[@]}" --operator "${operators[@]}" \
  --endpoint "${endpoints[@]}" --worker "${workers[@]}" \
  --started "$run/load-started" --config examples/kettle-valley.json | tee "$run/line.json"
exit "${PIPESTATUS[0]}"
