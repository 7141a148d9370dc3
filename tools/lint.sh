#!/usr/bin/env bash
# Runs the formatter, the linter and the checks of events and wire names.
# Changes no file.
set -euo pipefail
build=${1:-build}
mapfile -t files < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run --Werror "${files[@]}"
bash tools/check_events.sh
bash tools/check_wire.sh
git ls-files 'src/*.cpp' 'fakes/*.cpp' 'platform/*.cpp' |
    xargs -P 8 -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
echo "lint: clean"
