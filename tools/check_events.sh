#!/usr/bin/env bash
# Checks that the code and docs/EVENTS.md list the same numbered events, each
# with a number of its own.
set -euo pipefail
code=$(sed -nE 's/^inline constexpr int ([a-z_]+) = ([0-9]{3});$/\2 \1/p' \
    src/core/internal.hpp src/runtime/logging.hpp | sort -u)
docs=$(sed -nE 's/^\| ([0-9]{3}) \| ([a-z_]+) \|.*/\1 \2/p' docs/EVENTS.md |
    sort -u)
if [ "$code" != "$docs" ]; then
    echo "docs/EVENTS.md and the code differ:"
    diff <(echo "$code") <(echo "$docs") || true
    exit 1
fi
doubled=$(cut -d' ' -f1 <<<"$code" | uniq -d)
if [ -n "$doubled" ]; then
    echo "numbers of several events:" $doubled
    exit 1
fi
echo "event catalogue: $(echo "$code" | wc -l) events"
