#!/usr/bin/env bash
# Runs the tests of what routers say to each other with routers of two builds side by
# side, and the soak with routers that are replaced by the other build at each restart:
# scripts/mixed.sh OLD NEW, each the folder of a `mimosadale` program. The tests are
# those of build/. Started by hand, with the build that runs in production as OLD.
set -euo pipefail
[ $# -eq 2 ] || { echo "usage: $0 OLD NEW" >&2; exit 2; }
old="$(realpath "$1")"
new="$(realpath "$2")"
cd "$(dirname "$0")/.."
for program in "$old/mimosadale" "$new/mimosadale"; do
  [ -x "$program" ] || { echo "$program: not a program" >&2; exit 2; }
done
# What only holds if the first router, or all, are of the version with the fix of
# 2026-12-05 (docs/incidents).
only_new="*no endpoint anywhere*,*than one of two others*"
failed=0

# run LABEL COMMAND...
run() {
  local log
  log="$(mktemp)"
  if "${@:2}" > "$log" 2>&1; then
    echo "passed: $1"
  else
    echo "FAILED: $1"
    grep -E "ERROR:|values:|violation" "$log" | sort | uniq -c | head -20
    failed=1
  fi
  rm -f "$log"
}

# pair LABEL FIRST OTHER: r1 and unnamed routers run FIRST.
pair() {
  export MIMOSADALE_BIN="$2" MIMOSADALE_OTHER_BIN="$3" MIMOSADALE_OTHER_ROUTERS="r2,r3,near"
  run "$1: hand-over" build/tests/forward_hand_over_test "-tce=$only_new"
  run "$1: limits" build/tests/forward_limit_test
  run "$1: crashing requests" build/tests/forward_deadly_test
  run "$1: crashing parts" build/tests/forward_crash_test
  run "$1: tables from another router" build/tests/forward_store_test
  local seed
  for seed in 7 8; do
    run "$1: soak, seed $seed" build/tests/soak --seed "$seed" --seconds 15
  done
}
pair "old beside new" "$old" "$new"
pair "new beside old" "$new" "$old"
exit "$failed"
