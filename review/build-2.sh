#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review, after the build of the deploy file. Needs rustc alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$folder/case.rs" ]; then
        rustc --edition 2024 -O -A warnings -o "target/review-2/case-$(basename "$folder")" "$folder/case.rs"
    fi
done
