#!/usr/bin/env bash
# Runs each fuzz target on inputs that libFuzzer generates from those in
# tests/fuzz/corpus: fuzz.sh [RUNS [SEED [TARGET...]]]. An input that fails is written to
# build-fuzz/found; add it to the corpus.
set -euo pipefail
. "$(dirname "$0")/lib.sh"
runs="${1:-20000}"
seed="${2:-1}"
shift $(($# < 2 ? $# : 2))
cmake --preset fuzz > /dev/null
cmake --build build-fuzz --target fuzz
targets=("$@")
[ ${#targets[@]} -gt 0 ] || targets=($(ls tests/fuzz/corpus))
mkdir -p build-fuzz/found
one_target() {
  local grown="build-fuzz/corpus/$1"
  rm -rf "$grown"
  mkdir -p "$grown"
  build-fuzz/tests/fuzz "--target=$1" "$grown" "tests/fuzz/corpus/$1" \
    "-runs=$runs" "-seed=$seed" -max_len=1024 -timeout=10 -rss_limit_mb=2048 \
    "-artifact_prefix=build-fuzz/found/$1-" -verbosity=1 \
    > "build-fuzz/$1.log" 2>&1 || { echo "$1: failed"; tail -60 "build-fuzz/$1.log"; return 1; }
  echo "$1: $(grep -E '^Done' "build-fuzz/$1.log")"
}
export -f one_target
export runs seed
printf '%s\n' "${targets[@]}" | xargs -P 4 -I{} bash -c 'one_target {}'
