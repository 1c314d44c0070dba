#!/bin/sh
exec "$(dirname "$0")/../../lab3/run-case.sh" tenant-names "$(cd "$(dirname "$0")" && pwd)"
