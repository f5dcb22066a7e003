#!/usr/bin/env bash
# Starts a small system as separate processes on loopback and runs the given command in it; stops all of them at the
# end. Without a command it waits for Ctrl-C. Entries listen on 127.0.0.1:8081, 8082 and 8083 for clients.
set -euo pipefail
cd "$(dirname "$0")/.."
binary=${LYCHEESPOOL:-build/release/lycheespool}
entries=${ENTRIES:-3}
executors=${EXECUTORS:-3}
base=${BASE_PORT:-8080}
service_time_us=${SERVICE_TIME_US:-1000}
logs=${LOGS:-run}
mkdir -p "$logs"
pids=()
start() {
    local name=$1
    shift
    "$binary" "$@" 2> "$logs/$name.log" &
    pids+=($!)
    echo $! > "$logs/$name.pid"
}
stop_all() {
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do kill -TERM "${pids[$i]}" 2> /dev/null || true; done
    wait
}
trap stop_all EXIT
zones=(zone-a zone-b zone-c)
start table table --http 127.0.0.1:$((base + 90))
for ((i = 1; i <= entries; i++)); do
    start "entry-$i" entry --id "entry-$i" --zone "${zones[$(((i - 1) % 3))]}" --http "127.0.0.1:$((base + i))" \
        --rpc "127.0.0.1:$((base + 20 + i))" --table "127.0.0.1:$((base + 90))"
done
for ((i = 1; i <= executors; i++)); do
    start "executor-$i" executor --http "127.0.0.$((i + 1)):$((base + 30))" --service-time-us "$service_time_us"
    start "agent-$i" agent --id "executor-$i" --zone "${zones[$(((i - 1) % 3))]}" --http "127.0.0.$((i + 1)):$((base + 31))" \
        --endpoint "127.0.0.$((i + 1)):$((base + 30))" --entries "127.0.0.1:$((base + 21))"
done
for ((i = 1; i <= entries; i++)); do
    for ((n = 0; n < 100; n++)); do
        count=$(curl -s "127.0.0.1:$((base + i))/v1/status" | grep -c '"agent"' || true)
        [ "$count" -ge "$executors" ] && break
        sleep 0.1
    done
done
if [ $# -gt 0 ]; then "$@"; else echo "running; stop with Ctrl-C"; wait; fi
