#!/usr/bin/env bash
# Installs the packages, builds, starts a small system as separate processes and shows it at work.
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
