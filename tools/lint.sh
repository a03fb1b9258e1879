#!/usr/bin/env bash
# Checks the formatting of all sources except generated ones and runs clang-tidy on them. Needs a
# configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '^generated/')
clang-format --dry-run --Werror "${sources[@]}"
printf '%s\n' "${sources[@]}" | grep '\.cc$' |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet
