// The error of packages/platform.
#ifndef MIMOSADALE_PLATFORM_PLATFORM_ERROR_H
#define MIMOSADALE_PLATFORM_PLATFORM_ERROR_H

#include "base/error.h"

namespace mimosadale::platform {

/// The platform gave no usable answer.
class PlatformError : public Error {
public:
  using Error::Error;
};

} // namespace mimosadale::platform

#endif
