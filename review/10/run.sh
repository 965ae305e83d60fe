#!/bin/sh
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
case_program=build/review-2/upgrade_exclude
[ -x "$case_program" ] || { echo "run review/build-2.sh first"; exit 2; }
CASE_RUN=$(sed -n 's/^run = "\(.*\)".*/\1/p' deploy/balancer.toml)
CASE_FOLDER=$(mktemp -d) || exit 2
CASE_RECORD="$here/record.txt"
export CASE_RUN CASE_FOLDER CASE_RECORD
timeout -k 5 110 "$case_program"
result=$?
[ "$result" -le 2 ] || result=2
rm -rf "$CASE_FOLDER"
exit "$result"
