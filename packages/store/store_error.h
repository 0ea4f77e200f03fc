// Exception type of packages/store.
#ifndef MIMOSADALE_STORE_STORE_ERROR_H
#define MIMOSADALE_STORE_STORE_ERROR_H

#include "base/error.h"

namespace mimosadale::store {

/// The platform could not be reached, refused a request, or sent an invalid
/// response.
class StoreError : public Error {
public:
  using Error::Error;
};

} // namespace mimosadale::store

#endif
