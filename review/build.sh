#!/usr/bin/env bash
# Builds the stand-ins of the cases, and the programs in review/more, into
# review/.build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p .build
build()
{
  c++ -std=c++20 -O1 -Wall -Wextra -pthread "$1" standin/lab.cpp \
    standin/http.cpp -o ".build/$(basename "$1" .cpp)"
}
jobs=()
for case in standin/*_case.cpp more/*.cpp; do
  build "$case" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
