#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# The sidecar is started with the command of the deploy file; review/build.sh builds the stand-ins.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/cases ] || { echo "review/build.sh has not been run"; exit 2; }
[ -x ../../target/release/gullpulley ] || { echo "the deploy file's build has not been run"; exit 2; }
exec ../bin/cases slow-reader record.txt
