#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases into target/review, after the build
# of deploy/system.toml. Needs the packages of that file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  name="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/stand-in \
    "$source" -o "target/review/case-$name" -lboost_json
done
