#!/usr/bin/env bash
# Runs clang-tidy on the sources; skips files whose preprocessed text and configuration are unchanged.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release > /dev/null
mkdir -p build/tidy
check() {
    local source=$1
    # The preprocessed text includes every header, so it is a complete cache key for the result.
    local key
    key=$( (cat .clang-tidy; g++ -std=c++20 -I. -Isrc -Itest -E -P -DBOOST_ASIO_SEPARATE_COMPILATION \
        -DBOOST_BEAST_SEPARATE_COMPILATION -DLYCHEESPOOL_BINARY='""' "$source") | sha256sum | cut -c1-32)
    [ -e "build/tidy/$key" ] && return 0
    if clang-tidy-19 --quiet -p build/release --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 \
        --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 --extra-arg=-Wno-unknown-warning-option "$source" 2> /dev/null; then
        touch "build/tidy/$key"
    else
        echo "clang-tidy: $source" >&2
        return 1
    fi
}
export -f check
files=("$@")
[ ${#files[@]} -gt 0 ] || mapfile -t files < <(find src platform bench examples -name '*.cpp' ! -path '*/net/asio.cpp' 2> /dev/null)
printf '%s\n' "${files[@]}" | xargs -P "${JOBS:-$(nproc)}" -I{} bash -c 'check {}'
