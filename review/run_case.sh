#!/usr/bin/env bash
# run_case.sh NAME FOLDER: plays a case's program, which starts the project's
# binary. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run. TROUBLE=0 leaves the disruption out.
root=$(cd "$(dirname "$0")" && pwd)
program=$root/.build/$1
binary=$root/../target/siskindeal
folder=$2
if [ ! -x "$program" ] || [ ! -x "$binary" ]; then
  echo "not built: $program or $binary" >&2
  exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
timeout -k 5 110 "$program" "$binary" "$folder" "$temporary"
status=$?
[ -n "${KEEP_LOGS:-}" ] && mkdir -p "$KEEP_LOGS" && cp "$temporary"/* "$KEEP_LOGS"/
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
