#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
# Needs the build of deploy/system.toml and review/build.sh. KEEP=1 keeps the nodes' logs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/build/src/cli/fireflyrun ] && [ -x target/review/case4 ] || exit 2
timeout -k 2 118 target/review/case4
result=$?
[ $result -le 2 ] || result=2
exit $result
