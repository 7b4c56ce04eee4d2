#!/usr/bin/env bash
# Checks that nothing on the way of a request, and no decision, reads the time of day, which may jump.
set -euo pipefail
cd "$(dirname "$0")/.."
clocks='system_clock|gettimeofday|CLOCK_REALTIME|time\((nullptr|NULL|0)\)|utc_clock'
if git grep -nE "$clocks" -- admission direct directory dispatch expertmap gateway membership model platform retry routing; then
  echo "the time of day is read where it must not matter"
  exit 1
fi
echo "no decision reads the time of day"
