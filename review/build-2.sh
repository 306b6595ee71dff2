#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2. Run it from anywhere.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand review/stand-2/main.rs
