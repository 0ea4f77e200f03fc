#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over the given ones. One that was found clean is
# not checked again until it, a header that it includes, its compile command, the checks
# or clang-tidy change.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/compile_commands.json ] || cmake --preset release > /dev/null
cache="${XDG_CACHE_HOME:-$HOME/.cache}/mimosadale-lint"
mkdir -p "$cache"

# Prints the command that compiles a source file, as the build runs it.
compile_command() {
  sed -n 's/^ *"command": "\(.*\)",\{0,1\}$/\1/p' build/compile_commands.json |
    sed 's/\\"/"/g; s/^ccache \|^[^ ]*\/ccache //' | grep -F -- " -c $PWD/$1" | head -n 1
}

# Prints what clang-tidy's findings in a source file depend on. The paths of the checkout
# are left out. Preprocessed with comments and macros, since checks look at both.
inputs_of() {
  local command
  command="$(compile_command "$1")"
  [ -n "$command" ] || return 1
  clang-tidy --version
  cat .clang-tidy "$1"
  command="${command% -o *} -E -C -dD -dI $PWD/$1"
  (cd build && printf '%s\n' "$command" && bash -c "$command") | sed "s|$PWD||g"
}

lint_file() {
  local digest
  digest="$(inputs_of "$1" | sha256sum | cut -d' ' -f1)" || digest=""
  [ -n "$digest" ] && [ -f "$cache/$digest" ] && return 0
  clang-tidy -p build --quiet "$1" || return 1
  [ -z "$digest" ] || touch "$cache/$digest"
}
export cache
export -f compile_command inputs_of lint_file

if [ $# -gt 0 ]; then
  printf '%s\n' "$@"
else
  git ls-files 'packages/*.cpp' 'platform/*.cpp' | grep -v '/generated/'
fi | xargs -P "$(nproc)" -I{} bash -o pipefail -c 'lint_file "$1"' lint {}
