#!/bin/bash
# Plays the case with the disruption, or without it if TROUBLE=0. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] || { echo "target/review/standin is missing; run review/build.sh"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec target/review/standin ends review/2/record.txt
