#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform/endivespan-platform ] && [ -x target/review-2/case-10 ] || exit 2
exec timeout -k 1 118 target/review-2/case-10 review/10/record.txt
