#!/bin/sh
# The same with an entry of bytes that are not UTF-8. Writes bytes/record.txt. Exit and TROUBLE as in run.sh.
mkdir -p "$(dirname "$0")/bytes"
VARIANT=bytes; export VARIANT
exec "$(dirname "$0")/../run-case.sh" 3/bytes ForeignEntry
