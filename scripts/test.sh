#!/usr/bin/env bash
# Runs every check: formatting, build with warnings as errors, all tests, the same tests under the address and
# undefined-behaviour sanitizers, the request path under the thread sanitizer, and clang-tidy.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
export RC_PARAMS="seed=20261204 max_success=100"
export UBSAN_OPTIONS=print_stacktrace=1
echo "property tests run with RC_PARAMS=\"$RC_PARAMS\""
scripts/format.sh
cmake --preset release
cmake --build --preset release
ctest --preset release
python3 -m unittest discover -s test/scripts
cmake --preset asan
cmake --build --preset asan
# One seed per fault case: the sanitizers slow the simulation down by a factor of ten.
LYCHEESPOOL_SEEDS=1 ctest --preset asan
cmake --preset tsan
cmake --build --preset tsan --target test_core test_net test_request
ctest --preset tsan -R '^(core|net|request)$'
scripts/tidy.sh
[ -f KNOWN-RED.txt ] && cat KNOWN-RED.txt
echo "all checks passed"
