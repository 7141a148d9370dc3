#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stage-2/*.cpp; do
    name=$(basename "$source" .cpp)
    "${CXX:-g++}" -std=c++20 -O1 -pthread "$source" \
        -o "target/review-2/$name"
done
