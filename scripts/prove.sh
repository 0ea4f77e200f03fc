#!/usr/bin/env bash
# Shows that the tests of the proofs can fail: removes one mechanism at a time, in a
# copy of the work tree, and expects the test that covers it to fail.
#
# Each file of tests/proofs begins with the lines `promise:`, `target:` (what to
# build) and `test:` (what to run), followed by the patch.
set -euo pipefail
. "$(dirname "$0")/lib.sh"
copy="$root/build-proof"
proofs=("$@")
[ ${#proofs[@]} -gt 0 ] || proofs=(tests/proofs/*.patch)
failed=0
field() { sed -n "s/^$1: *//p" "$2" | head -n 1; }

mkdir -p "$copy"
for proof in "${proofs[@]}"; do
  proof="$(realpath "$proof")"
  git ls-files --cached --others --exclude-standard |
    rsync -a --delete --files-from=- ./ "$copy/tree/" 2>/dev/null
  if ! patch -s -p1 -d "$copy/tree" < "$proof"; then
    echo "STALE  $(basename "$proof"): the patch does not apply"
    failed=1
    continue
  fi
  cmake -S "$copy/tree" -B "$copy/build" -G Ninja -DMIMOSADALE_BENCH=OFF \
    -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DCMAKE_CXX_COMPILER_LAUNCHER=ccache > /dev/null
  # shellcheck disable=SC2046
  ninja -C "$copy/build" $(field target "$proof") > "$copy/log" 2>&1 ||
    { tail -n 20 "$copy/log"; exit 1; }
  if (cd "$copy/build" && MIMOSADALE_BIN="$copy/build/packages" \
    timeout 300 bash -c "$(field test "$proof")" > "$copy/log" 2>&1); then
    echo "PASSED WITHOUT ITS MECHANISM  $(basename "$proof")"
    failed=1
  else
    echo "fails as it must  $(basename "$proof"): $(field promise "$proof")"
  fi
  patch -s -R -p1 -d "$copy/tree" < "$proof"
done
exit "$failed"
