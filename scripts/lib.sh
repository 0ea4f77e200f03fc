# Shared by the scripts: installs Debian's packages and builds.

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
cd "$root"

# Objects compiled in one checkout are reused by ccache in another one.
export CCACHE_BASEDIR="$root"
export CCACHE_NOHASHDIR=1

# Installs the packages of scripts/packages.txt; without root, prints the missing ones.
install_packages() {
  local missing=()
  local name
  while read -r name; do
    dpkg-query -W -f '${Status}' "$name" 2>/dev/null |
      grep -q 'ok installed' || missing+=("$name")
  done < scripts/packages.txt
  [ ${#missing[@]} -eq 0 ] && return 0
  if [ "$(id -u)" -ne 0 ]; then
    echo "These Debian packages are missing; install them as root:" >&2
    echo "  apt-get install -y ${missing[*]}" >&2
    return 1
  fi
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive \
    apt-get install -y -q --no-install-recommends "${missing[@]}"
}

# Configures and builds one preset of CMakePresets.json.
build_preset() {
  cmake --preset "$1" > "/dev/null"
  cmake --build "$(preset_dir "$1")"
}

preset_dir() {
  case "$1" in
    release) echo build ;;
    *) echo "build-$1" ;;
  esac
}
