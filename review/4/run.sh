#!/usr/bin/env bash
# Plays review/standin/same_id_crash_case.cpp.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../run_case.sh" same_id_crash_case "$folder"
