#!/bin/sh
exec "$(dirname "$0")/../lab3/run-case.sh" foreign-entries "$(cd "$(dirname "$0")" && pwd)"
