#!/usr/bin/env bash
# Runs all tests. Tests listed in KNOWN-RED.txt ("test: NAME" lines) run separately; their results are printed but do
# not affect the exit status.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t red < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
exclude=()
if [ "${#red[@]}" -gt 0 ]; then
  pattern=$(printf '%s\n' "${red[@]}" | sed 's/[][().*+?^$|\\]/\\&/g; s/.*/^&$/' | paste -sd'|')
  exclude=(-E "$pattern")
  echo "known failures (KNOWN-RED.txt), run separately and not counted:"
  printf '  %s\n' "${red[@]}"
  ctest --test-dir "$build" --output-on-failure -R "$pattern" || echo "known failures: still failing, see KNOWN-RED.txt"
fi
ctest --test-dir "$build" --output-on-failure -j "$(nproc)" "${exclude[@]}"
