#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/build/case-5 ] && [ -x target/marigoldspool-node ] || exit 2
RECORD="review/5/record.txt" exec review/build/case-5
