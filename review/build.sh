#!/bin/bash
# Builds the stand-ins of the scripts: the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in drain link_full memory; do
  if [ -f "review/standin/$program.rs" ]; then
    rustc --edition 2024 -O -A dead_code -o "target/review/$program" "review/standin/$program.rs"
  fi
done
