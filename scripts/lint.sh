#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over the given ones.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/compile_commands.json ] || cmake --preset release > /dev/null
if [ $# -gt 0 ]; then
  printf '%s\n' "$@"
else
  git ls-files 'packages/*.cpp' 'platform/*.cpp' | grep -v '/generated/'
fi | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet
