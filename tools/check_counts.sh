#!/usr/bin/env bash
# Counts instructions with callgrind, which gives the same count on every run of
# a binary, and compares the count with bench/bounds.txt.
set -euo pipefail
build=${1:-build}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
count() {
    valgrind --tool=callgrind --callgrind-out-file="$out/cg" \
        "$build/bench/capacity_bench" control "$1" 2>&1 |
        sed -nE 's/.*Collected : ([0-9]+).*/\1/p'
}
short=$(count 20)
long=$(count 120)
each=$(((long - short) / 100))
bound=$(awk '$1 == "control_instructions_per_second" { print $2 }' \
    bench/bounds.txt)
echo "control: $each instructions per second at 330 nodes and 680 runners," \
    "bound $bound"
[ "$each" -le "$bound" ]
