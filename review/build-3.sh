#!/bin/sh
# Builds the stand-ins of review/11 and later into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in restored_store resumed_streams; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/$name" \
        "review/tools-3/$name.cpp" review/tools-3/engines.cpp \
        review/tools-3/stage.cpp
done
