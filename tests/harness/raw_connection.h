// A caller's connection whose requests and responses the test sends and reads
// separately.
#ifndef MIMOSADALE_TESTS_RAW_CONNECTION_H
#define MIMOSADALE_TESTS_RAW_CONNECTION_H

#include "harness/harness.h"

#include <memory>
#include <string>

namespace mimosadale::harness {

/// The constructor connects, the destructor closes. Calls block.
///
/// \par Thread safety
/// None.
class RawConnection {
public:
  /// \throws boost::system::system_error if the connection cannot be opened.
  explicit RawConnection(const std::string &Address);
  ~RawConnection();

  /// Sends a GET request, or a POST request if there is a body. \returns
  /// whether it was written.
  bool send(const std::string &Target, const Headers &ExtraHeaders,
            const std::string &Body = "");

  /// Reads one complete response. \returns its status; 0 if the connection
  /// failed before.
  unsigned receive();

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace mimosadale::harness

#endif
