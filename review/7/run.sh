#!/bin/bash
# Case 7: open channels to an executor fall silent, and it restarts under its id; see claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standin-2/lib.sh"

start_store
write_config "$config"
start_gateway 1 za; start_gateway 2 zb; start_gateway 3 zc
# Executor a and its agent reach each other through one proxy.
launch proxy "$standin" proxy --pairs "$net.41:9000=$net.41:8080,$net.41:9001=$net.41:8526"
proxy=$started
start_agent node-a 41 za "$net.41:9000"
start_executor a i-00000000000a "$net.41:8080" "$net.41:9001" za a,r1 4000
executor=$started
host=42
for it in b c d e f; do
    start_agent "node-$it" $host zb "$net.$host:8080"
    start_executor "$it" "i-00000000000$it" "$net.$host:8080" "$net.$host:8526" zb a,r2 64000
    host=$((host + 1))
done
wait_ready
sleep 4

# A task that takes all of executor a, which the leader prefers to the larger one.
step='{"count":1,"cpu":4000,"memMb":1000,"estimatedMs":6000}'
if [ "${TROUBLE:-1}" = 1 ]; then
    note "silence: the open channels between executor a and its agent pass nothing any more, new ones work"
    kill -USR1 "$proxy"
    sleep 0.05
    note "crash a"
    kill -KILL "$executor"
    sleep 0.2
    start_executor a i-00000000000a "$net.41:8080" "$net.41:9001" za a,r1 4000
    sleep 0.1
fi
submit 1 00000000000000a1 "$step" 6000
sleep 12
client GET 2 /q/00000000000000a1 > /dev/null
judge_twice
