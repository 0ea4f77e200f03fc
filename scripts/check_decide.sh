#!/usr/bin/env bash
# packages/decide does no I/O, reads no clock and starts no thread.
set -euo pipefail
cd "$(dirname "$0")/.."
forbidden='#include <(iostream|fstream|cstdio|stdio|thread|mutex|atomic|future|condition_variable|semaphore|ctime|sys/|unistd|boost/(asio|beast|process|thread)|prometheus|log4cplus|jsonrpccpp|openssl)'
if grep -nE "$forbidden" packages/decide/*.h packages/decide/*.cpp; then
  echo "packages/decide includes a header of I/O, clocks or threads" >&2
  exit 1
fi
if grep -nE '::now\(|random_device|#include "(net|store|router|ctl|rpc|standin)/' \
  packages/decide/*.h packages/decide/*.cpp; then
  echo "packages/decide reads a clock, draws entropy or uses an outer package" >&2
  exit 1
fi
