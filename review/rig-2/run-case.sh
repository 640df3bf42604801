#!/bin/sh
# Runs a case: `run-case.sh CASE FOLDER`. The record goes to FOLDER/record.txt.
#
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
set -u
case_name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
rig=review/rig-2/target/release/review-rig-2
program=${run%% *}
if [ ! -x "$rig" ] || [ ! -x "$program" ]; then
    echo "not built: first the deploy file's build, then review/build-2.sh"
    exit 2
fi
scratch=$(mktemp -d) || exit 2
# The rig ends its controllers itself. What is left if it was killed is ended here: those that have the settings of this run.
clean() {
    for id in $(sed -n 's/^pid //p' "$scratch/out" 2>/dev/null); do
        if tr '\0' ' ' <"/proc/$id/cmdline" 2>/dev/null | grep -qF "$scratch"; then
            kill -9 "$id" 2>/dev/null
        fi
    done
    rm -rf "$scratch"
}
trap 'kill "$rig_id" 2>/dev/null; clean; exit 2' INT TERM HUP
TMPDIR=$scratch RUN=$run "$rig" "$case_name" "$folder" >"$scratch/out" 2>&1 &
rig_id=$!
wait "$rig_id"
code=$?
grep -v '^pid ' "$scratch/out"
clean
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
