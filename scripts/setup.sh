#!/usr/bin/env bash
# Installs the packages that the build and the tests need; does nothing if all are installed.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < <(tr ' ' '\n' < scripts/packages.txt | grep .)
if ! dpkg -s "${packages[@]}" > /dev/null 2>&1; then
    apt-get update
    DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${packages[@]}"
fi
