#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
directory=$(mktemp -d) || exit 2
target/review-3/standin starved-job target/lycheespool deploy/policy.toml "$directory" "$here/record.txt"
code=$?
rm -rf "$directory"
exit $code
