#!/usr/bin/env bash
# Removes one mechanism at a time and checks that a test fails without it.
# Usage: tools/mutations.sh [NAME...]
set -uo pipefail
export CCACHE_NOHASHDIR=true # shares equal objects between the build folders
all=(NO_CLAIMS LOSER_DISPATCHES ALWAYS_NOT_RUN RETRY_ANYTHING
    NO_CANARY_BOUND NO_VETO NO_DEADLINE ACCEPT_ANY_ORDER KEEP_LEAVING
    STEP_BACK NO_CAS NO_HAND_OVER HAND_OVER_WITHOUT_CHUNKS
    NO_LIMITS NO_SHEDDING CLASS_BEFORE_SHARE NO_QUARANTINE
    KEEP_ZONES NO_WARM_UP)
[ $# -gt 0 ] && all=("$@")
missed=0
for name in "${all[@]}"; do
    dir=build-mutation/$name
    cmake -S . -B "$dir" -G Ninja -DPAPAYAHOOK_MUTATION="$name" >/dev/null
    if ! ninja -C "$dir" test_core >/dev/null; then
        echo "$name: does not build"
        missed=1
        continue
    fi
    if RC_PARAMS="seed=20261204 max_success=2000" \
        "$dir/test/test_core" >"$dir/out" 2>&1; then
        echo "$name: NOT NOTICED"
        missed=1
    else
        echo "$name: red: $(grep '^test cases' "$dir/out" | tail -1)"
    fi
done
exit $missed
