#!/bin/sh
# Builds the stand-ins and the cases of the second review; they need nothing but the compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 review/standin-2/main.rs -o target/review-2/cases
