#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption. Writes record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/eelgrassrock-edge ] || [ ! -x target/review/case4 ]; then
    echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# The routers end with the process that started them.
timeout 110 target/review/case4 review/4/record.txt &
case=$!
trap 'kill "$case" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
trap 'exit 2' INT TERM
wait "$case"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
