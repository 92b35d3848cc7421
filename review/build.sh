#!/usr/bin/env bash
# Builds the stand-ins that the cases start, with the compiler alone: no dependency, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand_ins review/stand_ins/main.rs
