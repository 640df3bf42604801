#!/bin/sh
# Plays case 1; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. What was sent, answered and run goes to record.txt in this folder. review/build.sh and the build of the
# deploy file come first.
cd "$(dirname "$0")/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
[ -n "$command" ] && [ -x target/review/rig ] || exit 2
exec target/review/rig guarantee review/1/record.txt "$command"
