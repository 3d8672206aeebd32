#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the installed compiler; needs no network and no crate.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O --crate-name standins_2 -o target/review-2/standins review/standins-2/main.rs
