#!/usr/bin/env bash
# Names of the users' platform are used in platform/ and its tests only.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Mimosadale|RouteType|rows-(tx|get|feed)|KvTokenBytes|Server-Seal|FencingToken'
if git grep -nE "$names" -- 'packages/*' 'bench/*'; then
  echo "a name of the platform is used outside platform/" >&2
  exit 1
fi
