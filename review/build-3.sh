#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 15 into target/review-3/.
# Needs the compiler and the JSON headers of the deploy file, no network.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/target/review-3
mkdir -p "$out"
for source in "$root"/review/standin-3/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "$out/$(basename "$source" .cc)"
done
