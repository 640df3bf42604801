#!/bin/sh
# Builds the stand-ins of the review's cases.
cd "$(dirname "$0")/.." && mkdir -p target/review && exec rustc --edition 2024 -O -o target/review/rig review/rig/main.rs
