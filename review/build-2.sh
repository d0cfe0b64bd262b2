#!/bin/sh
# Builds the stand-ins of the cases 6 to 10; needs no network. Run from anywhere.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/stand2 review/6/stand2/main.rs
