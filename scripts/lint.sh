#!/usr/bin/env bash
# Checks the formatting of all source files with clang-format and lints them with clang-tidy. Prints the
# findings and fails if there are any.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h')
clang-format --dry-run --Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cc$' | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2>/dev/null
echo "format and lint are clean"
