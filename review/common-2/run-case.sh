#!/usr/bin/env bash
# Runs the case in the folder $1. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run.
cd "$1/../.." || exit 2
number=$(basename "$1")
program=target/review-2/case-$number
[ -x "$program" ] && [ -x target/release/berylbay-platform ] || exit 2
export TROUBLE="${TROUBLE:-1}" RECORD="$1/record.txt"
"$program"
status=$?
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
