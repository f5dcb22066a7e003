#!/bin/bash
# Not a case: a task that crashes its executor 3 s after each start, beside a steady flow of small jobs. The letter of issue
# 29 has the rule BUDGET for it: no more than three further starts after three executors have crashed under it. TROUBLE=0
# leaves the small jobs out.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standin-2/lib.sh"

start_store
write_config "$config"
start_gateway 1 za; start_gateway 2 zb; start_gateway 3 zc
for n in 1 2 3; do
    start_agent "node-$n" "4$n" za "$net.4$n:8080"
done

# Starts executor N again 1 s after each of its ends, under a new id.
keep_executor() {
    local n=$1 k executor=
    trap 'kill -KILL "$executor" 2> /dev/null; exit' TERM
    for k in $(seq 100 160); do
        "$standin" executor --record "$record" --name "executor-$n" --id "i-00000000$n$k" --listen "$net.4$n:8080" \
            --agent "$net.4$n:8526" --zone za --service bunker-desk --labels a,r1 --cpu 64000 --mem 262144 --gpu 8 &
        executor=$!
        wait "$executor"
        sleep 1
    done
}
keepers=()
for n in 1 2 3; do
    keep_executor "$n" > /dev/null 2>&1 &
    keepers+=($!)
done
trap 'kill -TERM "${keepers[@]}" 2> /dev/null; wait "${keepers[@]}" 2> /dev/null; cleanup' EXIT
wait_ready
sleep 4
if [ "${TROUBLE:-1}" = 1 ]; then
    (for i in $(seq 1000 1500); do
        submit 1 "000000000000$i" '{"count":6,"cpu":1000,"memMb":100,"estimatedMs":1000}' 1000
        sleep 0.12
    done) > /dev/null 2>&1 &
    pids+=($!)
fi
sleep 3
submit 2 00000000000000a1 '{"count":1,"cpu":2000,"memMb":100,"estimatedMs":3000}' "3000 crashes"
sleep 60
client GET 2 /q/00000000000000a1 > /dev/null
sort -s -n -k1,1 "$record" | awk '
    $2 == "crash" { crashes++ }
    $2 == "start" && $4 == "00000000000000a1.0.0.0" && crashes >= 3 { further++ }
    END {
        print crashes + 0 " crashes, " further + 0 " starts after the third"
        if (crashes < 2) exit 2
        if (further > 3) { print "BUDGET (issue 29)"; exit 1 }
        print "held"
    }' | tee -a "$record"
exit "${PIPESTATUS[1]}"
