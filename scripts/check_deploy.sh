#!/usr/bin/env bash
# Checks that deploy/system.toml lists each Debian package whose headers or libraries
# the deployed program is built from, itself or by the dependencies of one that it
# lists. A fresh machine has no others.
set -euo pipefail
. "$(dirname "$0")/lib.sh"
build_preset release > /dev/null
listed="$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '",')"
[ -n "$listed" ] || { echo "deploy/system.toml: no list of packages" >&2; exit 1; }

# The packages of all files under /usr that the program is built from.
used_packages() {
  local inputs
  inputs="$(ninja -C build -t inputs packages/mimosadale)"
  {
    grep '^/usr/' <<< "$inputs" || true
    grep '\.o$' <<< "$inputs" | xargs ninja -C build -t deps | sed -n 's/^ *\(\/usr\/[^ ]*\)$/\1/p'
  } | xargs -r realpath -e | sort -u | xargs -r dpkg-query -S 2> /dev/null |
    sed 's/: .*//; s/:[a-z0-9]*//g' | tr ',' '\n' | tr -d ' ' | sort -u
}

# shellcheck disable=SC2086
available="$(apt-cache depends --recurse --installed --no-recommends --no-suggests \
  --no-conflicts --no-breaks --no-replaces --no-enhances $listed |
  sed -n 's/^[^ <]*$/&/p; s/^ .*Depends: \([^ <]*\)$/\1/p' | sed 's/:[a-z0-9]*$//' | sort -u)"
used="$(used_packages)"
[ -n "$used" ] || { echo "found no packages that the program is built from" >&2; exit 1; }
missing="$(comm -23 <(echo "$used") <(echo "$available"))"
if [ -n "$missing" ]; then
  echo "deploy/system.toml does not list these packages, which the program is built from:" >&2
  echo "$missing" >&2
  exit 1
fi
