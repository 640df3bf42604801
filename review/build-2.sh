#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: `review/rig-2`. It uses crates that the deploy file's build has fetched.
set -eu
cd "$(dirname "$0")/.."
cargo build --offline --locked --release --manifest-path review/rig-2/Cargo.toml
