#!/usr/bin/env bash
# Another writer describes running instances under a service that no config names. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 nobody writes such entries.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
timeout -s KILL 115 target/review-3/standin-3 writer review/11/record.txt "$folder"
code=$?
rm -rf "$folder"
[ "$code" -le 1 ] && exit "$code"
exit 2
