#!/usr/bin/env bash
# Builds, checks formatting and lint, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
scripts/lint.sh
scripts/check-names.sh
scripts/check-clock.sh
ctest --test-dir build --output-on-failure -j 4
scripts/check-faults.sh
