#!/usr/bin/env bash
# Case 6: a stager that stood still orders weights that it read back before.
exec "$(dirname "$0")/../run_case-2.sh" 6 weights
