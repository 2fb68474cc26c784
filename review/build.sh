#!/usr/bin/env bash
# Builds the program of each case that is a script. Needs the Rust toolchain only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review/case-$number" "$case"
done
