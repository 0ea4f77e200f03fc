// Base class of the exceptions that mimosadale throws.
#ifndef MIMOSADALE_BASE_ERROR_H
#define MIMOSADALE_BASE_ERROR_H

#include <stdexcept>

namespace mimosadale {

/// Base class of all exceptions. Each package derives its own exception type
/// and translates exceptions of the packages it depends on into that type.
class Error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace mimosadale

#endif
