#!/usr/bin/env bash
# Runs one benchmark, or all of them sequentially. Each prints JSON lines.
set -euo pipefail
build=$1 name=$2
for program in "$build"/*_bench; do
  case "$name" in all | "$(basename "$program" _bench)") "$program" ;; esac
done
