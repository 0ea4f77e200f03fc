#!/usr/bin/env bash
# Scores each site with the users' bench, one after the other, and prints the
# days of all of them as one table: scripts/regression.sh BENCH SITE...
set -euo pipefail
[ $# -ge 2 ] || { echo "usage: $0 BENCH SITE..." >&2; exit 2; }
bench="$(realpath "$1")"
shift
cd "$(dirname "$0")/.."
table="$(mktemp)"
failed=0
for site in "$@"; do
  log="$(mktemp)"
  "$bench" score "$site" --jobs "${JOBS:-3}" --why "regression run" > "$log" || failed=1
  grep -q '^GATE passed' "$log" || failed=1
  {
    echo "$(basename "$site" .toml): $(grep '^GATE' "$log" || echo 'no gate')"
    grep -E '^(day|quiet|trouble|scale|fresh)[a-z0-9-]* +' "$log" | grep -v played || true
  } >> "$table"
  rm -f "$log"
done
cat "$table"
rm -f "$table"
exit "$failed"
