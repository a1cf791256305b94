#!/usr/bin/env bash
# Checks the format of all source files, or of the given ones, and runs clang-tidy
# on them.
set -euo pipefail
build=$1
shift
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.')
fi
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$' || true)
[ ${#sources[@]} -eq 0 ] && exit 0
printf '%s\0' "${sources[@]}" | xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" clang-tidy -p "$build" --quiet 2> /dev/null
echo "lint: ${#files[@]} files clean"
