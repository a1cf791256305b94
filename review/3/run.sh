#!/usr/bin/env bash
# Plays review/standin/nested_entry_case.cpp.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../run_case.sh" nested_entry_case "$folder"
