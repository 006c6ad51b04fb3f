#!/bin/sh
# Machines are added and removed, one after the other; later all machines lose power and come back.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sycamore-gateway ] && [ -x target/review-trials ] || exit 2
exec target/review-trials removed-machines review/4/record.txt
