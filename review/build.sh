#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in standins/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "build/$(basename "$source" .cpp)" "$source" -pthread &
done
wait
for source in standins/*.cpp; do
    test -x "build/$(basename "$source" .cpp)"
done
