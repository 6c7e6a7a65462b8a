#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/*.cpp review/7/*.cpp review/8/*.cpp review/9/*.cpp review/10/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" review/tools-2/stand_in.cpp \
    -lcrypto -o "target/review-2/$(basename "$source" .cpp)"
done
