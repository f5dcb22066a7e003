#!/usr/bin/env bash
# Checks the formatting of all sources; with --fix, formats them.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
find src test bench examples platform \( -name "*.h" -o -name "*.cpp" \) | xargs clang-format "${mode[@]}"
