#!/bin/sh
# Builds the cases' programs, with their stand-ins, into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -o "target/review/case$number" "$source" -lpthread
done
