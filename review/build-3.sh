#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. Uses the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin-3 review/standin-3/main.rs
