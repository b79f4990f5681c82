#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10, into target/review-2/, without a network.
# Run it after the build of the deploy file. It needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/harness-2/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/$name" "$source" &
done
failed=0
for job in $(jobs -p); do wait "$job" || failed=1; done
exit $failed
