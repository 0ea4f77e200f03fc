// The root of the project's exceptions.
#ifndef MIMOSADALE_BASE_ERROR_H
#define MIMOSADALE_BASE_ERROR_H

#include <stdexcept>

namespace mimosadale {

/// Each package derives its own error from this one and turns the errors of the
/// packages below it into its own.
class Error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace mimosadale

#endif
