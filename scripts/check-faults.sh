#!/usr/bin/env bash
# Checks that the last CTest run included every test that the tables of docs/FAULTS.md and docs/PROOF.md name.
set -euo pipefail
cd "$(dirname "$0")/.."
log=build/Testing/Temporary/LastTest.log
missing=0
count=0
while IFS= read -r name; do
  count=$((count + 1))
  if ! grep -qF " s: $name" "$log"; then
    echo "test named in docs did not run: $name"
    missing=1
  fi
done < <(grep -hE '^\|' docs/FAULTS.md docs/PROOF.md | grep -oE '`[^`]+`' | tr -d '`' | grep ' ' | grep -vE '^(build|ctest|scripts)/?' | sort -u)
echo "$count named tests checked"
exit "$missing"
