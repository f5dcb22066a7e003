#!/usr/bin/env bash
# Reruns all measurements of docs/CAPACITY.md with the release build and prints all figures as one table. The raw
# output stays in build/capacity/. Takes about 8 minutes; QUICK=1 takes about 4 with fewer repeats and sizes.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/capacity
mkdir -p "$out"
bin=build/release
base=${BASE_PORT:-18080}
sizes=11,100,400,1000
windows=3
[ "${QUICK:-0}" = 1 ] && sizes=11,100,400 && windows=1 && export REPEATS=${REPEATS:-1}
cmake --preset release > /dev/null
cmake --build --preset release -j "${JOBS:-3}" --target lycheespool agent_fan_in message_size table_rows > "$out/build.log"
{
    echo "date $(date -u +%Y-%m-%dT%H:%MZ)"
    echo "commit $(git rev-parse --short HEAD)$(git diff --quiet HEAD || echo ' with local changes')"
    echo "processors $(nproc), load before $(cut -d' ' -f1-3 /proc/loadavg)"
} | tee "$out/run.txt"
run() {
    local name=$1
    shift
    echo "== $*"
    "$@" 2> "$out/$name.log" > "$out/$name.txt" || { echo "failed, see $out/$name.log" >&2; exit 1; }
    column -t -l 4 "$out/$name.txt" 2> /dev/null || cat "$out/$name.txt"
}
run message_size "$bin/message_size"
run table_rows "$bin/table_rows"
run fan_in_500 "$bin/agent_fan_in" --agents "$sizes" --interval-ms 500 --windows "$windows" --base-port $((base + 320))
run fan_in_1000 "$bin/agent_fan_in" --agents "$sizes,3400" --interval-ms 1000 --windows "$windows" --base-port $((base + 320))
run fan_in_10000 "$bin/agent_fan_in" --agents "$sizes" --interval-ms 10000 --windows 2 --window-ms 10000 --restarts 1 \
    --base-port $((base + 320))
BASE_PORT=$base run request_cost scripts/request_cost.sh
echo "load after $(cut -d' ' -f1-3 /proc/loadavg)" | tee -a "$out/run.txt"
