// A server whose responses have no end.
#ifndef MIMOSADALE_TESTS_ENDLESS_SERVER_H
#define MIMOSADALE_TESTS_ENDLESS_SERVER_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mimosadale::harness {

/// What a response consists of until the caller closes the connection.
enum class EndlessPart {
  Head,        // header fields
  StatusLine,  // bytes without a line break
  Body,        // a body without length
  Chunks,      // a chunked body
  ChunkHeader, // the header of one chunk
  Trailer,     // header fields after a chunked body
  Interim,     // interim responses (1xx)
  Events       // sound events of a stream
};

/// Serves loopback connections in threads of its own. Answers any request with
/// a response that has no end.
///
/// \par Thread safety
/// All members may be called from any thread.
class EndlessServer {
public:
  /// \param ExtraHeaders lines that follow the status line, each with its line
  /// break; derived from the request.
  explicit EndlessServer(
      std::function<std::string(const std::string &Request)> ExtraHeaders = {});
  ~EndlessServer();
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::string address() const;
  void setPart(EndlessPart Part);
  /// Pause after each piece of 4 KiB.
  void setPause(std::chrono::milliseconds Pause);
  /// Number of requests received, and of connections that the caller closed.
  int requests() const;
  int closed() const;
  /// The most bytes that the server wrote to one connection.
  std::uint64_t mostBytes() const;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace mimosadale::harness

#endif
