#!/usr/bin/env bash
# Usage: run.sh CASE PROGRAM [ARGUMENT...]. Runs a case; its record goes to review/CASE/record.txt. Exits with 1 if the rule
# was broken, with 0 if it held, and with 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
case=$1
program=review/build/3/$2
shift 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
export REVIEW_FAKES=review/build/3/project/orioletrail-fakes
if [ ! -x "$program" ] || [ ! -x "$REVIEW_FAKES" ] || [ ! -x target/orioletrail ]; then
    echo "build target/ and run review/build-3.sh first" | tee "review/$case/record.txt"
    exit 2
fi
timeout 110 "$program" "$folder" "review/$case/record.txt" "$@" &
running=$!
# The program's children end with it.
trap 'kill "$running" 2>/dev/null' TERM INT
wait "$running"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
