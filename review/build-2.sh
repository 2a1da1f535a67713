#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10. Needs g++ and nlohmann-json3-dev, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
rm -rf build
mkdir build
for Source in *.cc; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$Source" -o "build/${Source%.cc}" &
done
wait
for Source in *.cc; do
  [ -x "build/${Source%.cc}" ] || { echo "build-2.sh: $Source was not built" >&2; exit 1; }
done
