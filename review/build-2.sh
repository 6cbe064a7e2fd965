#!/usr/bin/env bash
# Builds what the cases of the second review start beside the programs of the deploy file, below target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
