#!/usr/bin/env bash
# Case 10: see claim.txt. Exit 1: the rule is broken; 0: it holds; 2: not run.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
export ROUTER_BIN=target/packages/mimosadale TROUBLE="${TROUBLE:-1}"
[ -x "$ROUTER_BIN" ] && [ -x target/review-2/deadly ] || exit 2
# The stand-in starts the routers itself; they end with it.
timeout --signal=KILL 118 target/review-2/deadly late-crash "$folder"
code=$?
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
