#!/bin/sh
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x review/bin/order ] || { echo "run review/build.sh first"; exit 2; }
tmp=$(mktemp -d) || exit 2
timeout -k 2 115 review/bin/order "$here" "$tmp"
status=$?
rm -rf "$tmp"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
