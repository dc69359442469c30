#!/bin/sh
# Builds the stand-ins of the second review, with the compiler alone and without a network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/stand-in review/stand_ins_2/main.rs
