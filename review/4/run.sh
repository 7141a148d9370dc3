#!/bin/bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
: > "$here/record.txt" || exit 2
program=review/bin/case-${here##*/}
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
STAGE_RECORD="$here/record.txt" timeout -k 2 115 "$program"
status=$?
[ $status -le 2 ] && exit $status
exit 2
