#!/bin/sh
# Exit: 1 rule broken, 0 rule held, 2 could not run. TROUBLE=0 runs it without the disruption.
exec "$(dirname "$0")/../../run-case.sh" extra/pipelined-stop PipelinedStop
