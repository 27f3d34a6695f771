#!/bin/sh
# Builds the stand-ins that the cases start. Needs no network; the result goes to target/review.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
