#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p mustardshed-standins --example platform
mkdir -p target/review
rustc -O --edition 2021 -o target/review/rig review/rig.rs
