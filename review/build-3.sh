#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into review/standins-3/bin. Needs g++ alone.
set -eu
cd "$(dirname "$0")/.."
bin=review/standins-3/bin
mkdir -p "$bin"
for source in review/standins-3/*.cpp; do
    g++ -std=c++20 -O1 -pthread -o "$bin/$(basename "$source" .cpp)" "$source"
done
