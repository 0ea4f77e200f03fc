// Every parser that takes bytes from outside, as a fuzz target.
#ifndef MIMOSADALE_TESTS_FUZZ_TARGETS_H
#define MIMOSADALE_TESTS_FUZZ_TARGETS_H

#include <functional>
#include <map>
#include <string>

namespace mimosadale::tests {

/// Takes hostile bytes, and what they mean as far as decisions use it. Errors
/// that the parser states are caught; anything else is a fault.
using FuzzTarget = std::function<void(const std::string &Bytes)>;

/// All targets by name; each has a folder of inputs in `tests/fuzz/corpus`.
/// Safe from any thread.
const std::map<std::string, FuzzTarget> &fuzzTargets();

} // namespace mimosadale::tests

#endif
