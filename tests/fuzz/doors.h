// Every parser at a door of the router, as one function of bytes.
#ifndef MIMOSADALE_TESTS_FUZZ_DOORS_H
#define MIMOSADALE_TESTS_FUZZ_DOORS_H

#include <functional>
#include <map>
#include <string>

namespace mimosadale::tests {

/// Takes hostile bytes, and what they mean as far as decisions use it. Errors
/// that the parser states are caught; anything else is a fault.
using Door = std::function<void(const std::string &Bytes)>;

/// All doors by name; each has a folder of inputs in `tests/fuzz/corpus`. Safe
/// from any thread.
const std::map<std::string, Door> &doors();

} // namespace mimosadale::tests

#endif
