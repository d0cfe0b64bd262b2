#!/bin/sh
# Builds the stand-ins that the scripts of this folder start.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p yuccarudder-platform --example stand
mkdir -p target/review
cp target/release/examples/stand target/review/stand
