#!/usr/bin/env bash
# Runs the program of a case: run-case.sh NAME FOLDER. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. No process outlives it.
cd "$(dirname "$0")/../.."
program=target/review-3/$1
if [ ! -x "$program" ] || [ ! -x target/papayahook-node ]; then
    echo "build the deploy file and review/build-3.sh first" >&2
    exit 2
fi
set -m # the program and all that it starts are one process group
timeout -k 2 112 "$program" "$2/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
wait "$group"
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
