#!/bin/sh
# See claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -f ../second/build/8/Case8.class ] || { echo "review/build-2.sh has not been run"; exit 2; }
[ -f ../../target/rushproxy.jar ] || { echo "the build of the deploy file has not been run"; exit 2; }
exec java -XX:-UsePerfData -Xmx512m ${CASE_OPTS:-} --add-opens java.base/sun.nio.ch=ALL-UNNAMED --add-opens java.base/java.io=ALL-UNNAMED \
    -cp ../second/build/8 Case8 ../.. .
