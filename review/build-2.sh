#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/build/.
set -eu
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O1 -Wall -Wextra -pthread standins-2/*.cpp -o build/standins-2
