#!/bin/sh
# Builds the stand-ins that the scripts of this review start. It needs nothing but the toolchain of the repository.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-3 review/11/stand-3/main.rs
