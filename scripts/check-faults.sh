#!/usr/bin/env bash
# Checks that each test named in the fault matrix and on the proof page ran in the last run of CTest.
set -euo pipefail
cd "$(dirname "$0")/.."
log=build/Testing/Temporary/LastTest.log
missing=0
count=0
while IFS= read -r name; do
  count=$((count + 1))
  if ! grep -qF " s: $name" "$log"; then
    echo "named in docs but not run: $name"
    missing=1
  fi
done < <(grep -hE '^\|' docs/FAULTS.md docs/PROOF.md | grep -oE '`[^`]+`' | tr -d '`' | grep ' ' | grep -vE '^(build|ctest|scripts)/?' | sort -u)
echo "$count named tests checked"
exit "$missing"
