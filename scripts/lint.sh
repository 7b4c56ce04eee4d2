#!/usr/bin/env bash
# Checks formatting and lints every source file; prints what is not clean and exits 1.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h')
clang-format --dry-run --Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cc$' | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2>/dev/null
echo "format and lint are clean"
