#!/bin/sh
# Builds the stand-ins and checks of the cases; they need no library besides the standard one.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/harness/Cargo.toml --target-dir target/review
