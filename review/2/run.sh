#!/bin/sh
# See claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/2/build/Crowd.class ] || { echo "review/build.sh has not been run"; exit 2; }
exec java -Xmx256m -cp review/2/build Crowd review/2
