#!/bin/sh
# Builds the stand-ins and clients of the review's scripts, with the compiler that the deploy file names.
set -eu
cd "$(dirname "$0")/.."
for source in review/[1-5]/case.cc; do
    [ -e "$source" ] || continue
    folder=$(dirname "$source")
    g++ -std=c++20 -O1 -pthread -Wall -Wextra -Wno-missing-field-initializers \
        -o "$folder/case" review/harness/harness.cc "$source"
done
