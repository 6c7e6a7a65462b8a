#!/usr/bin/env bash
# Builds the programs of the cases that have a script, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=target/review
mkdir -p "$folder"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
for source in review/tools/*.cpp; do
  "${CXX:-g++}" "${flags[@]}" -c "$source" -o "$folder/$(basename "$source" .cpp).o"
done
for source in review/[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" "${flags[@]}" "$source" "$folder"/*.o -o "$folder/case-$number"
done
