#!/usr/bin/env bash
# Installs the packages, builds, starts a small system as separate processes and runs a request and a gang on it.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" != show ]; then
    scripts/setup.sh
    cmake --preset release > /dev/null
    cmake --build --preset release --target lycheespool
    exec scripts/cluster.sh scripts/demo.sh show
fi
set -x
curl -sS -i -d 'hello' '127.0.0.1:8081/v1/workspaces/demo/requests?idempotent=true'
curl -sS -d '{"tasks": 4, "cores": 8, "memoryMiB": 1024, "accelerators": 8, "runTimeSeconds": 2}' \
    -H 'Idempotency-Key: demo-gang' 127.0.0.1:8082/v1/workspaces/demo/jobs
{ set +x; } 2> /dev/null
show_job() { curl -sS 127.0.0.1:8083/v1/jobs/demo-gang; }
for ((n = 0; n < 300; n++)); do
    job=$(show_job)
    state=$(grep -o '"state": "[a-z]*"' <<< "$job" || true)
    [ "$state" = "${last:-}" ] || echo "$state"
    last=$state
    [ "$state" = '"state": "done"' ] && exit 0
    sleep 0.1
done
echo "the job did not finish within the time limit" >&2
exit 1
