# Functions of the review's scripts: a small deployment of the real programs among the stand-ins of this folder.
# Bounds are those of cab-limon in SYSTEM.md. To be sourced by run.sh of a case, which sets `here`.
set -u
root=$(cd "$here/../.." && pwd)
standin=$root/target/review-standin-2
record=$here/record.txt
[ -x "$standin" ] && [ -x "$root/target/lycheespool" ] || { echo "build first"; exit 2; }
work=$(mktemp -d)
net=127.$((1 + $$ / 250 % 250)).$((1 + $$ % 250))
store=$net.9:8090
operator_version=0
pids=()
: > "$record"

cleanup() {
    for it in "${pids[@]}"; do kill -CONT "$it" 2> /dev/null; kill -KILL "$it" 2> /dev/null; done
    wait 2> /dev/null
    rm -rf "$work"
}
trap cleanup EXIT

note() { echo "$(date +%s%3N) $*" >> "$record"; }

# Starts a program in the background; its id is in `started`.
launch() {
    local log=$1
    shift
    (cd "$root" && exec "$@" > "$work/$log.log" 2>&1) &
    started=$!
    pids+=("$started")
}

# settings NAME ROLE CLASS IP ZONE LISTEN APP: writes the settings file of a process.
settings() {
    cat > "$work/$1.json" << JSON
{"node":"$1","role":"$2","machineClass":"$3","serves":["$3"],"ip":"$4","zone":"$5","region":"r",
 "zones":{"za":"r","zb":"r","zc":"r"},"listen":{$6},"internalPorts":[7000,7015],
 "seeds":["$net.11:8526","$net.12:8526","$net.13:8526"],"bootstrap":true,"countsAsLoss":false,
 "limits":{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000,"diskMb":0},"dataDir":null,
 "discovery":"local","entry":"vip","heartbeatMs":1500,"app":"$7","service":"bunker-desk",
 "contracts":["base","drain","config","cost","recover","sched","tenants","places","platform"],
 "faultTolerance":{"machines":2,"zones":1,"regions":0},
 "bounds":{"contactMs":3000,"ackTimeoutMs":4000,"drainMs":2000,"graceS":6,"lossSlackMs":200,"configApplyMs":2000,
  "rollbackSlackMs":250,"maxSkewMs":5000,"evacuateMs":5000,"recoveryS":12,"maxHoldMs":6000,"stopTimeoutMs":400,
  "gangTimeoutMs":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,
  "remoteFactor":3,"checkpointS":2,"restoreMs":250,"leaseMs":3000},
 "orders":"rpc",
 "platform":{"addr":"$store","form":"table","writesPerS":800,"readsPerS":2000,"txnTimeoutMs":8,"appendsPerS":150,
  "rowBytes":65536,"across":false,"historyS":20}}
JSON
}

# start_gateway N ZONE: gateway N (1 to 3) at net.1N.
start_gateway() {
    settings "gateway-$1" gateway edge "$net.1$1" "$2" \
        "\"front\":\"$net.1$1:8521\",\"ready\":\"$net.1$1:8523\",\"control\":\"$net.1$1:8526\"" ""
    LYCHEESPOOL_SETTINGS=$work/gateway-$1.json \
        launch "gateway-$1" target/lycheespool gateway --policy deploy/policy.toml
}

# start_agent NAME HOST ZONE EXECUTOR: node-agent at net.HOST that reaches its executor at the address EXECUTOR.
start_agent() {
    settings "$1" node-agent side "$net.$2" "$3" "\"control\":\"$net.$2:8526\"" "$4"
    LYCHEESPOOL_SETTINGS=$work/$1.json launch "$1" target/lycheespool node-agent
}

# start_executor NAME ID LISTEN AGENT ZONE LABELS CPU
start_executor() {
    launch "$1" "$standin" executor --record "$record" --name "$1" --id "$2" --listen "$3" --agent "$4" --zone "$5" \
        --service bunker-desk --labels "$6" --cpu "$7" --mem 262144 --gpu 8
}

start_store() {
    launch store "$standin" store --listen "$store"
    for _ in $(seq 50); do
        [ "$("$standin" call --to "$store" --method GET --path /none --host store | cut -c1-3)" = 404 ] && return
        sleep 0.1
    done
    exit 2
}

write_config() {
    "$standin" call --to "$store" --method POST --path "/operator?key=config" --host store --body "$1" > /dev/null
}

# client METHOD GATEWAY PATH [BODY]: prints the answer and notes it.
client() {
    local answer
    answer=$("$standin" call --to "$net.1$2:8521" --method "$1" --path "$3" --host jobs.example --key key-a \
        --body "${4-}")
    note "client $1 gateway-$2 $3 -> $answer"
    echo "$answer"
}

# Waits until a gateway answers 200 at its ready address and until each given executor may be started on.
wait_ready() {
    for _ in $(seq 100); do
        [ "$("$standin" call --to "$net.11:8523" --method GET --path /v1/ready --host ready | cut -c1-3)" = 200 ] && return
        sleep 0.1
    done
    exit 2
}

config='{"version":1,"routes":[{"name":"q","host":"jobs.example","pathPrefix":"/q/","service":"bunker-desk","priority":1,"maxAttempts":3,"stretch":3,"targetLatencyMs":1000}],"services":[{"name":"bunker-desk","enforcesCapacity":false}],"tenants":[{"name":"t","apiKeys":["key-a"]}]}'

# submit GATEWAY ID STEP WORK_MS: hands in a job of one step; ends the script with 2 if it is not accepted.
submit() {
    local answer
    answer=$(client POST "$1" "/q/$2" "{\"spec\":\"work=$4\",\"steps\":[$3]}")
    [ "${answer:0:3}" = 200 ] || { echo "the job $2 was not accepted: $answer"; exit 2; }
}

# Checks the rule TWICE on the record: two runs of a task at the same time on executors that are up, or a start after
# an end `done` that is taken note of then or later. A crash ends all runs of its executor.
judge_twice() {
    sort -s -n -k1,1 "$record" | awk '
        function clear(executor, key) {
            for (key in running) if (substr(key, index(key, SUBSEP) + 1) == executor) delete running[key]
        }
        $2 == "crash" || $2 == "up" { clear($3) }
        $2 == "start" {
            starts++
            for (key in running) {
                split(key, part, SUBSEP)
                if (part[1] == $4 && part[2] != $3) { print "TWICE: at " $1 " executor " $3 " starts " $4 " " $5 " while " part[2] " runs " running[key]; bad = 1 }
            }
            if ($4 in done) again[$4] = "at " $1 " executor " $3 " starts " $4 " " $5 " after " done[$4]
            running[$4, $3] = $5
        }
        $2 == "end" {
            delete running[$4, $3]
            if ($7 == "how=done" && !($4 in done)) { done[$4] = $5 " on " $3 " ended done at " $1; doneRun[$4] = $5 }
        }
        $2 == "noted" && /"done"/ {
            split($0, part, "\""); split(part[3], numbers, ",")
            if (doneRun[part[2]] == "run=" numbers[2] && !(part[2] in noted)) noted[part[2]] = $1
        }
        END {
            for (task in again) if (task in noted) { print "TWICE: " again[task] ", an end that was taken note of at " noted[task]; bad = 1 }
            if (starts == 0) { print "no task was started"; exit 2 }
            if (!bad) print "held"
            exit bad
        }' | tee -a "$record"
    return "${PIPESTATUS[1]}"
}
