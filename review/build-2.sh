#!/bin/sh
# Builds every stand-in that the scripts of review/6 to review/10 start: the mock engine, among the programs of the workspace, and the
# stand-ins of review/lib-2. Needs the installed toolchain and no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/case review/lib-2/main.rs
