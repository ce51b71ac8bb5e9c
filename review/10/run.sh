#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
number="$(basename "$PWD")"
cd ../.. || exit 2
program="target/review-2/case-$number"
if [ ! -x "$program" ]; then
    echo "$program is missing; run review/build-2.sh"
    exit 2
fi
timeout --kill-after=2 118 "$program" "review/$number"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
