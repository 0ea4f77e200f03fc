// A test double of a model engine that holds a range of layers.
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
  double m_TokensPerSecond = 0; // 0 answers at once
  bool m_ChecksEpoch = true;
};

/// Serves docs/protocols/engine.md with continuous batching at a fixed rate.
///
/// `POST /standin/faults` injects faults: `delay_ms` and `silent` (see
/// `Faults`), `leaving` (new sequences are refused, the load says that the
/// engine leaves), and, each for a number of calls, `busy` (a new sequence is
/// refused), `wrong_request`, `wrong_position` and `wrong_epoch` (the reply has
/// that field wrong), `reset` (the connection closes without a reply) and
/// `truncate` (half of the reply is sent as a complete body). `/standin/forget`
/// drops all sequences. Every call under `/standin/` returns counters and the
/// protocol violations of the router.
///
/// \par Thread safety
/// Safe from any thread.
class Engine {
public:
  explicit Engine(EngineSettings Settings);
  ~Engine();

  /// Answers one request.
  boost::asio::awaitable<void> handle(net::HttpExchange &Exchange);

private:
  class State;
  std::unique_ptr<State> m_State;
};

} // namespace mimosadale::standin

#endif
