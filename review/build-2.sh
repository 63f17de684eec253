#!/bin/bash
# Builds the stand-ins that the scripts of the second review start: the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.rs; do
  rustc --edition 2024 -O -A dead_code -o "target/review-2/$(basename "$source" .rs)" "$source"
done
