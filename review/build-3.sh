#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into target/review-3/, with what
# the build of deploy/system.toml installs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
shared=(review/stand-in-3/stand_in.cpp review/stand-in-3/plain_fleet.cpp)
for case in review/stand-in-3/case_*.cpp; do
  name="$(basename "$case" .cpp)"
  sources=("${shared[@]}" "$case")
  # This one plays with the model workers of the second review.
  [ "$name" = case_hang ] && sources=("$case")
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/stand-in-3 "${sources[@]}" \
    -o "target/review-3/$name" -lboost_json -pthread
done
