#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra "$source" review/rig-2/*.cpp -o "target/review-2/case-$name" -lpthread
done
