#!/bin/sh
# Builds the stand-ins that the scripts of this folder start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand review/stand.rs
