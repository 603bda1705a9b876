#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/REPORT-3.md start, into target/review-3/. Run after the
# build of the deploy file; it needs no package beyond those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cc; do
  name=$(basename "$source" .cc)
  "${CXX:-g++}" -std=c++20 -O1 -pthread -o "target/review-3/$name" "$source"
done
