#!/usr/bin/env bash
# Builds the stand-ins of all cases, into target/review. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
