#!/bin/sh
# Builds the stand-ins of the cases, from the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p target
rustc --edition 2024 -C opt-level=2 -C debuginfo=0 -o target/stand-in stand_ins/main.rs
