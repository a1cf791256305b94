#!/usr/bin/env bash
# LIMIT, shown beyond the five cases: see limit.txt.
exec "$(dirname "$0")/../run_case-2.sh" more-2 limit
