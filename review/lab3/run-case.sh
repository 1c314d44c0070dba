#!/bin/sh
# run-case.sh NAME FOLDER: runs a case and writes FOLDER/record.txt. Needs the build of the
# deploy file and review/build-3.sh. TROUBLE=0 leaves the disruption out.
set -u
name=$1
folder=$2
root=$(cd "$(dirname "$0")/../.." && pwd)
if [ ! -f "$root/target/bulrushrouter.jar" ] || [ ! -f "$root/review/out-3/Cases.class" ]; then
	echo "build first: the build of deploy/system.toml, then review/build-3.sh"
	exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
timeout 110 java -Djava.io.tmpdir="$temporary" -cp "$root/review/out-3" Cases "$name" "$root" "$folder/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
