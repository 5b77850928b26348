#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They need the standard library only, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/rig review/stand-ins-3/main.rs
rustc --edition 2021 -O -o target/review-3/stops review/stand-ins-3/stops/main.rs
