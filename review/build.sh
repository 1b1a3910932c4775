#!/bin/sh
# Builds the stand-ins that the cases start: the project's own store, and the programs in review/stand, which need the
# standard library alone. Needs no network once the deploy file's `build` has run.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline -p asterramp-zookeeper --bin asterramp-zookeeper-stub
mkdir -p target/review
for name in last_lines gone_host two_leaders; do
    rustc --edition 2024 -O -o "target/review/$name" "review/stand/$name.rs"
done
