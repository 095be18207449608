#!/usr/bin/env bash
# Builds the stand-ins, clients and cases of the second review (review/6 to review/10).
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness-2/Cargo.toml \
  --target-dir target/review-2
