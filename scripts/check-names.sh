#!/usr/bin/env bash
# Checks that names of the users' interfaces (headers, paths, settings, environment variables) appear only in
# platform/, fakes/ and tests.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-(Reply-Stamp|Expect-Replica|Not-Run|Replica-Id|Replica-Load|Token-Counts|Tenant|Cold-Ms|Prompt-Prefix)|Store-Era|Server-Leaving|orioletrail/(objects|report|order|picked|ready)|api_keys|path_prefix|cold_per_s|ORIOLETRAIL_NODE_FILE'
if git grep -nE "$names" -- '*.cc' '*.h' ':!platform' ':!fakes' ':!tests' ':!*-test.cc'; then
  echo "names of the users' interfaces are used outside platform/"
  exit 1
fi
echo "names of the users' interfaces are used only in platform/, fakes/ and tests"
