#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start. Needs rustc only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    case=review/$number/case.rs
    [ -e "$case" ] || continue
    rustc --edition 2024 -O -o "target/review-2/case-$number" "$case"
done
