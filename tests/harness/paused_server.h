// A server that does not read for a while, as one whose process is suspended.
#ifndef MIMOSADALE_TESTS_PAUSED_SERVER_H
#define MIMOSADALE_TESTS_PAUSED_SERVER_H

#include <memory>
#include <string>

namespace mimosadale::harness {

/// Accepts loopback connections and reads nothing until it is resumed. Its
/// receive buffers are small: of a larger request most stays with the sender.
///
/// \par Thread safety
/// None.
class PausedServer {
public:
  PausedServer();
  ~PausedServer();
  PausedServer(const PausedServer &) = delete;
  PausedServer &operator=(const PausedServer &) = delete;

  std::string address() const;

  /// Accepts the connections that wait. \returns how many there are in all.
  int acceptedConnections();

  /// Reads each connection until it ends, or for at most a second. \returns the
  /// number of complete requests, whose bodies have a stated length.
  int readRequests();

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace mimosadale::harness

#endif
