#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3/. They need the
# C++ compiler alone; the node itself is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stage-3/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
        -o "target/review-3/$name"
done
