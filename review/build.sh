#!/bin/sh
# Builds the stand-ins of the scripts; needs only the compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o "${OUT:-target/review/stand}" review/stand/main.rs
