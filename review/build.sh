#!/bin/sh
# Builds the stand-ins of all cases into review/bin. Needs rustc and nothing else.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2024 -O -o bin/cases standins/main.rs
