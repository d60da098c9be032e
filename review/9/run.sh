#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/eelgrassrock-edge ] && [ -x target/review-2/standin-2 ] || exit 2
exec target/review-2/standin-2 lapsed review/9/record.txt
