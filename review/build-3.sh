#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into review/build/3: the project's own store, and those in standins-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=review/build/3
mkdir -p "$out"
cmake -S . -B "$out/project" -DCMAKE_BUILD_TYPE=Release -DORIOLETRAIL_TESTS=ON >/dev/null
cmake --build "$out/project" -j"$(nproc)" --target orioletrail-fakes
for program in cut-copy smuggled pipelined-stop hidden-replicas head-request; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$program" review/standins-3/harness.cpp "review/standins-3/$program.cpp"
done
