# Runs a case's program from a folder review/N: run_case.sh NAME FOLDER.
# Ends all processes that it started, also if it is stopped itself.
set -u
name="$1"
folder="$(cd "$2" && pwd)"
cd "$folder/../.."
if [ ! -x "target/review-3/$name" ] || [ ! -x target/packages/mimosadale ]; then
  echo "not built: the deploy file's build and review/build-3.sh come first" >&2
  exit 2
fi
temporary="$(mktemp -d)"
CASE_FOLDER="$folder" CASE_TMP="$temporary" \
  timeout --kill-after=2 115 "target/review-3/$name"
status=$?
rm -rf "$temporary"
case "$status" in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
