#!/usr/bin/env bash
# Checks that the folders below, which handle requests and make decisions, never read the wall clock, which
# can jump.
set -euo pipefail
cd "$(dirname "$0")/.."
clocks='system_clock|gettimeofday|CLOCK_REALTIME|time\((nullptr|NULL|0)\)|utc_clock'
if git grep -nE "$clocks" -- admission cost direct directory dispatch expertmap gateway group membership model platform retry routing; then
  echo "the wall clock is read where only the monotonic clock may be used"
  exit 1
fi
echo "request handling and decisions do not read the wall clock"
