#!/usr/bin/env bash
# Checks the format and runs the linter on the hand-written sources. Usage: check_style.sh [BUILD_FOLDER [FILE...]];
# without files, checks all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
if [ "$#" -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files '*.cpp' '*.h' | grep -v '/generated/')
fi
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$')
printf '%s\0' "${sources[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy -p "$build" --quiet
echo "style: ${#files[@]} files clean"
