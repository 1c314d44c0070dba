#!/bin/sh
exec "$(dirname "$0")/../lab3/run-case.sh" run-then-unavailable "$(cd "$(dirname "$0")" && pwd)"
