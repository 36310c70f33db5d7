#!/bin/sh
# Case 6: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/carawaystiled ] && [ -x target/review2/stand2 ] || exit 2
exec target/review2/stand2 -out review/6 sharedpart
