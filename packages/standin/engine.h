// A stand-in model engine that holds a range of layers.
#ifndef MIMOSADALE_STANDIN_ENGINE_H
#define MIMOSADALE_STANDIN_ENGINE_H

#include "net/server.h"

#include <memory>
#include <string>

namespace mimosadale::standin {

struct EngineSettings {
  std::string m_Name;
  std::uint32_t m_FirstLayer = 0;
  std::uint32_t m_EndLayer = 0;
  double m_TokensPerSecond = 0; // pace; 0 answers at once
  bool m_ChecksEpoch = true;
};

/// Serves docs/protocols/engine.md, batching continuously at a stated pace, and
/// misbehaves when told to by `POST /standin/faults`.
///
/// \par Thread safety
/// Safe from any thread.
class Engine {
public:
  explicit Engine(EngineSettings Settings);
  ~Engine();

  /// Answers one request. \pre None.
  boost::asio::awaitable<void> handle(net::HttpExchange &Exchange);

private:
  class State;
  std::unique_ptr<State> m_State;
};

} // namespace mimosadale::standin

#endif
