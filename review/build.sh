#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs into target/review/. They use the standard library
# only, so nothing is downloaded.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review/case$number" "$case"
done
