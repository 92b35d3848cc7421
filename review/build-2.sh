#!/bin/sh
# Builds the stand-in that the scripts of the second review start. It needs rustc alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -C opt-level=2 -o target/review-2/stand_in review/stand_ins_2/main.rs
