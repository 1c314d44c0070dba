#!/bin/sh
# Runs one script case: run-case.sh FOLDER CLASS. Exit: 1 rule broken, 0 rule held, 2 could not run.
set -u
cd "$(dirname "$0")/.."
[ -f "review/out/lab/$2.class" ] && [ -f target/bulrushrouter.jar ] || {
	echo "run the build of the deploy file and review/build.sh first"
	exit 2
}
RECORD="$PWD/review/$1/record.txt"
WORK=$(mktemp -d)
ENTRY_COMMAND=$(sed -n '/^\[roles.entry\]/,/^\[roles.rank\]/ s/^run = "\(.*\)"$/\1/p' deploy/system.toml)
export RECORD WORK ENTRY_COMMAND
# The class ends with 10 if the rule was broken: 1 is what a Java process that fails to start ends with.
timeout -k 2 115 java -Xmx256m -cp review/out "lab.$2"
code=$?
rm -rf "$WORK"
case "$code" in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
