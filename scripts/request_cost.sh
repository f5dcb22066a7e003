#!/usr/bin/env bash
# Measures the cost of a request through one entry: processor time of entry and agents, and latency added over the same
# load sent directly to an emulated executor. Both loads alternate within one run. Prints one figure per line.
set -euo pipefail
cd "$(dirname "$0")/.."
binary=${LYCHEESPOOL:-build/release/lycheespool}
base=${BASE_PORT:-8080}
executors=${EXECUTORS:-6}
repeats=${REPEATS:-5}
duration_ms=${DURATION_MS:-2500}
rates=${RATES:-2500 5000 10000}
connections=${CONNECTIONS:-32}
# Each executor has this many slots; a direct run with more connections would be refused.
slots=8
if [ "${1:-}" != inside ]; then
    export LYCHEESPOOL="$binary" BASE_PORT="$base" EXECUTORS="$executors" ENTRIES=1
    SERVICE_TIME_US=${SERVICE_TIME_US:-0} LOGS=${LOGS:-build/request_cost} exec scripts/cluster.sh "$0" inside
fi
entry=127.0.0.1:$((base + 1))
direct=127.0.0.2:$((base + 30))
metric() { curl -s "$1/metrics" | awk -v name="lycheespool_$2" '$1 == name { print $2 }'; }
agents_cpu() { for ((i = 1; i <= executors; i++)); do metric "127.0.0.$((i + 1)):$((base + 31))" process_cpu_seconds_total; done | awk '{ sum += $1 } END { printf "%.6f\n", sum }'; }
field() { sed -E "s/.* $2=([0-9.]+).*/\1/" <<< " $1"; }
samples=$(mktemp)
trap 'rm -f "$samples"' EXIT
record() { echo "$1 $2 $3 $4" >> "$samples"; }
load_entry() { "$binary" load --target "$entry" --connections "$connections" --duration-ms "$duration_ms" --rate "$1"; }
load_direct() { "$binary" load --target "$direct" --path /v1/execute --connections "$slots" --duration-ms "$duration_ms" --rate "$1"; }
check() { # every response must belong to its request
    for it in not_run unknown failed mismatched; do record "$1" "${2}_$it" "$(field "$3" "$it")" requests; done
}
measure() {
    local rate=$1 setting="rate=$1" result before_entry before_agents
    result=$(load_direct "$rate")
    local direct_p99 direct_p50
    direct_p50=$(field "$result" p50) direct_p99=$(field "$result" p99)
    record "$setting" direct_rate "$(field "$result" rate)" 1/s
    record "$setting" direct_p50 "$direct_p50" us
    record "$setting" direct_p99 "$direct_p99" us
    check "$setting" direct "$result"
    before_entry=$(metric "$entry" process_cpu_seconds_total) before_agents=$(agents_cpu)
    result=$(load_entry "$rate")
    local after_entry after_agents done_count p50 p99
    after_entry=$(metric "$entry" process_cpu_seconds_total) after_agents=$(agents_cpu)
    done_count=$(field "$result" done) p50=$(field "$result" p50) p99=$(field "$result" p99)
    record "$setting" entry_rate "$(field "$result" rate)" 1/s
    record "$setting" entry_p50 "$p50" us
    record "$setting" entry_p99 "$p99" us
    check "$setting" entry "$result"
    record "$setting" added_p50 "$(awk "BEGIN { print $p50 - $direct_p50 }")" us
    record "$setting" added_p99 "$(awk "BEGIN { print $p99 - $direct_p99 }")" us
    record "$setting" p50_ratio "$(awk "BEGIN { print $p50 / $direct_p50 }")" x
    record "$setting" p99_ratio "$(awk "BEGIN { print $p99 / $direct_p99 }")" x
    record "$setting" entry_cpu_per_request "$(awk "BEGIN { print ($after_entry - $before_entry) / $done_count * 1e6 }")" us
    record "$setting" agent_cpu_per_request "$(awk "BEGIN { print ($after_agents - $before_agents) / $done_count * 1e6 }")" us
    record "$setting" entry_resident "$(awk "BEGIN { print $(metric "$entry" process_resident_bytes) / 1048576 }")" MiB
    for ((i = 1; i <= executors; i++)); do
        record "$setting" agent_resident "$(awk "BEGIN { print $(metric "127.0.0.$((i + 1)):$((base + 31))" process_resident_bytes) / 1048576 }")" MiB
    done
}
# Memory of the entry and the agents before any request.
record idle entry_resident "$(awk "BEGIN { print $(metric "$entry" process_resident_bytes) / 1048576 }")" MiB
for ((i = 1; i <= executors; i++)); do
    record idle agent_resident "$(awk "BEGIN { print $(metric "127.0.0.$((i + 1)):$((base + 31))" process_resident_bytes) / 1048576 }")" MiB
done
load_entry 1000 > /dev/null
for ((n = 0; n < repeats; n++)); do
    for rate in $rates 0; do measure "$rate"; done
done
sort -s -k1,1V -k2,2 -k3,3g "$samples" | awk '
    function flush() { if (n) printf "%s %s %.6g %s (%.6g..%.6g)\n", setting, name, n % 2 ? v[(n + 1) / 2] : (v[n / 2] + v[n / 2 + 1]) / 2, unit, v[1], v[n] }
    $1 " " $2 != setting " " name { flush(); n = 0 }
    { setting = $1; name = $2; unit = $4; v[++n] = $3 }
    END { flush() }'
