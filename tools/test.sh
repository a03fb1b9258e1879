#!/usr/bin/env bash
# Builds everything and runs the tests. The results of tests listed in KNOWN-RED.txt are printed, but
# do not fail the run.
set -uo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
rm -f build-configure.log
ninja -C build || exit 1
known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null)
exclude=()
if [ -n "$known_red" ]; then
  pattern="^($(printf '%s\n' "$known_red" | paste -sd'|'))$"
  echo "Known failing tests, see KNOWN-RED.txt:"
  ctest --test-dir build --output-on-failure -R "$pattern" | tail -n 20 || true
  exclude=(-E "$pattern")
fi
ctest --test-dir build --output-on-failure -j 8 "${exclude[@]}"
