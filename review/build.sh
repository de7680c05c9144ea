#!/bin/sh
# Builds the stand-ins of the review. They need the Rust tool chain of the project and no package.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
