#!/usr/bin/env bash
# Builds, runs the static checks (format, lint, names, clocks) and all tests, and checks that no documented
# test was left out.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
scripts/lint.sh
scripts/check-names.sh
scripts/check-clock.sh
ctest --test-dir build --output-on-failure -j 4
scripts/check-faults.sh
