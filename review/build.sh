#!/usr/bin/env bash
# Builds the programs of the cases that have a script, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread "$source" \
    review/tools/net.cpp review/tools/platform.cpp review/tools/shop.cpp -o "target/review/case-$number"
done
