#!/bin/sh
# Builds the stand-ins of the review's cases. They have no dependencies, so no network is needed.
here=$(cd "$(dirname "$0")" && pwd) || exit 1
cd "$here/standins" || exit 1
exec cargo build --release --offline --locked --target-dir "$here/standins/target"
