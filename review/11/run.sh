#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout 110 target/review-3/long_prefix "$work" "$here/record.txt"
status=$?
grep " requests, " "$here/record.txt"
[ "$status" -le 1 ] || status=2
exit "$status"
