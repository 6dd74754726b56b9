#!/usr/bin/env bash
# Builds the stand-ins of the second review, with the standard library only, into the project's build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2024 -O -A dead_code -o "target/review-2/$name" "$source"
done
