// A connection of a caller that writes and reads when the test says so.
#ifndef MIMOSADALE_TESTS_RAW_CONNECTION_H
#define MIMOSADALE_TESTS_RAW_CONNECTION_H

#include "harness/harness.h"

#include <memory>
#include <string>

namespace mimosadale::harness {

/// Opened with the object, closed with it.
///
/// \par Thread safety
/// None.
class RawConnection {
public:
  /// \throws boost::system::system_error when it can't be opened.
  explicit RawConnection(const std::string &Address);
  ~RawConnection();

  /// Writes a request without a body. \returns whether it was taken.
  bool send(const std::string &Target, const Headers &ExtraHeaders);

  /// Reads one whole answer. \returns its status; 0 when none came.
  unsigned receive();

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace mimosadale::harness

#endif
