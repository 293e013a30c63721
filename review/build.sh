#!/bin/sh
# Builds the stand-ins of all cases into target/review, with the tool chain alone: no crates are needed.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.rs; do
    name=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review/case-$name" "$case"
done
