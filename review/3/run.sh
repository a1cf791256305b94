#!/usr/bin/env bash
# Plays review/standin/nested_entry_case.cpp. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
export TROUBLE=${TROUBLE:-1}
exec bash "$folder/../run_case.sh" nested_entry_case "$folder"
