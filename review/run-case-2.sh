#!/bin/sh
# Runs case NUMBER with the class CLASS. Needs the build of the deploy file and review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it was kept, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
[ -f target/bulrushrouter.jar ] && [ -f "review/out-2/$2.class" ] || exit 2
java -Xmx512m -cp review/out-2 "$2" "review/$1/record.txt"
case $? in
0) exit 0 ;;
11) exit 1 ;;
*) exit 2 ;;
esac
