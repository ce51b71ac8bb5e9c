#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../../.." || exit 2
[ -x review/build/other-quarantine ] && [ -x target/marigoldspool-node ] || exit 2
RECORD="review/other/quarantine/record.txt" exec review/build/other-quarantine
