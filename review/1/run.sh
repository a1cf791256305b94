#!/usr/bin/env bash
# Plays review/standin/store_drill_case.cpp.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../run_case.sh" store_drill_case "$folder"
