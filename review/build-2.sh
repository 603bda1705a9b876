#!/bin/bash
# Builds the stand-ins and drivers that the scripts of review/6 to review/10 start, into
# target/review-2/. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
pids=()
for name in 6 7 8 9 10; do
  source=review/$name/case.cc
  [ -f "$source" ] || continue
  g++ -std=c++20 -O0 -Wall -Wextra -pthread -o "target/review-2/case-$name" "$source" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
