#!/bin/sh
# See claim.txt. Without the disruption: TROUBLE=0.
exec "$(dirname "$0")/../rig-2/run-case.sh" service "$(dirname "$0")"
