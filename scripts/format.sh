#!/usr/bin/env bash
# Formats all sources; with --check only reports differences.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard '*.cpp' '*.h' |
  grep -v '/generated/' | xargs clang-format "${mode[@]}"
