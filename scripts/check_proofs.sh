#!/usr/bin/env bash
# Checks that each proof patch still applies to the code: one that does not proves
# nothing (scripts/prove.sh runs them, which takes too long for each change).
set -euo pipefail
cd "$(dirname "$0")/.."
stale=0
for proof in tests/proofs/*.patch; do
  patch -p1 --dry-run -s -f < "$proof" > /dev/null || {
    echo "$proof does not apply" >&2
    stale=1
  }
done
exit "$stale"
