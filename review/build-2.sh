#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
