#!/usr/bin/env bash
# run_case-2.sh N CASE: runs one case of the stand-in program, with a temporary
# directory for settings and logs. Writes review/N/record.txt. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/.."
record="review/$1/record.txt"
if [ ! -x target/siskindeal ] || [ ! -x target/review-2/box ]; then
  echo "not built: target/siskindeal or target/review-2/box" > "$record"
  exit 2
fi
CASE_DIRECTORY=$(mktemp -d)
export CASE_DIRECTORY
trap 'rm -rf "$CASE_DIRECTORY"' EXIT
timeout -k 5 118 target/review-2/box "$2" "$record"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp "$CASE_DIRECTORY"/* "$KEEP_LOGS"/; fi
[ "$status" -le 1 ] && exit "$status"
exit 2
