#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
export REVIEW_ROOT=$(cd "$here/../.." && pwd)
export REVIEW_LOGS=$here/logs
rm -rf "$REVIEW_LOGS" && mkdir -p "$REVIEW_LOGS" || exit 2
[ -x "$REVIEW_ROOT/target/apps/hyssop_mesh/hyssop_mesh" ] && [ -x "$here/../build/case-3" ] || exit 2
"$here/../build/case-3" "$here/record.txt"
status=$?
[ "$status" -le 2 ] || exit 2
exit "$status"
