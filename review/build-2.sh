#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2, after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-in-2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/$(basename "$source" .cpp)" \
    "$source" -lboost_json -pthread
done
