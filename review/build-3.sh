#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 with the compiler alone; they have no dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -C opt-level=2 -o target/review-3/stand_in review/stand_ins_3/main.rs
