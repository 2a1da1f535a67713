#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
Root=$(cd "$(dirname "$0")/../.." && pwd)
Program=$Root/review/standin-2/build/quota_removed
Daemon=$Root/target/apps/hyssop_mesh/hyssop_mesh
for File in "$Program" "$Daemon"; do
  [ -x "$File" ] || { echo "$File is not built" >&2; exit 2; }
done
Work=$(mktemp -d)
trap 'rm -rf "$Work"' EXIT
cd "$Root" || exit 2
timeout -k 2 110 "$Program" "$Daemon" "$Work" "$Root/review/10/record.txt"
Result=$?
[ "$Result" -le 2 ] || Result=2
exit "$Result"
