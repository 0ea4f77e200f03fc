// A server whose answers are given byte by byte.
#ifndef MIMOSADALE_TESTS_SCRIPTED_SERVER_H
#define MIMOSADALE_TESTS_SCRIPTED_SERVER_H

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mimosadale::harness {

/// What the server writes for one request.
struct ScriptedAnswer {
  enum class End { KeepOpen, Close, Reset };

  struct Piece {
    std::string m_Bytes;
    std::chrono::milliseconds m_PauseBefore{};
  };

  std::vector<Piece> m_Pieces;
  End m_End = End::KeepOpen;
};

/// Serves loopback connections in threads of its own.
///
/// \par Thread safety
/// All members may be called from any thread.
class ScriptedServer {
public:
  /// \param Answer called for each request with its head and its number on its
  /// connection, from 0; called from several threads.
  explicit ScriptedServer(
      std::function<ScriptedAnswer(const std::string &Head, unsigned Number)>
          Answer);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  std::string address() const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

/// The value of a header of a request's head; empty if there is none.
std::string headerOf(const std::string &Head, const std::string &Name);

} // namespace mimosadale::harness

#endif
