#!/usr/bin/env bash
# Installs missing Debian packages and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build build
