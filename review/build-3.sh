#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 and up into build-review-3/ (ignored by git).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for source in review/harness-3/*.cc; do
    name=$(basename "$source" .cc)
    ${CXX:-g++} -std=c++20 -O1 -pthread -Wall -o "build-review-3/$name" "$source" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
