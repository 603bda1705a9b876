#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it
# does the same without the disruption. Writes record.txt beside this file.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
driver=target/review-2/case-$(basename "$folder")
[ -x "$driver" ] && [ -x target/build/src/cli/fireflyrun ] || exit 2
timeout --signal=KILL 115 "$driver" "$folder" "${TROUBLE:-1}"
status=$?
[ $status -le 2 ] && exit $status
exit 2
