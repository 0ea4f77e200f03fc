// Fuzz targets for all parsers of untrusted input.
#ifndef MIMOSADALE_TESTS_FUZZ_TARGETS_H
#define MIMOSADALE_TESTS_FUZZ_TARGETS_H

#include <functional>
#include <map>
#include <string>

namespace mimosadale::tests {

/// Parses untrusted bytes and passes the result on to the decision code that
/// uses it. `Error` is caught, since a parser may reject its input; any other
/// exception is a failure.
using FuzzTarget = std::function<void(const std::string &Bytes)>;

/// All targets by name; each has a corpus in `tests/fuzz/corpus/NAME`.
///
/// \par Thread safety
/// Safe from any thread.
const std::map<std::string, FuzzTarget> &fuzzTargets();

} // namespace mimosadale::tests

#endif
