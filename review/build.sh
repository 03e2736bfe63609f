#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They need the standard library only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
rustc -O --edition 2024 -o target/review/standin review/standin/main.rs
