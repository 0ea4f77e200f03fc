// Calls to model engines.
#ifndef MIMOSADALE_ROUTER_ENGINE_CLIENT_H
#define MIMOSADALE_ROUTER_ENGINE_CLIENT_H

#include "base/units.h"
#include "decide/pipeline.h"

#include <boost/asio/awaitable.hpp>
#include <variant>

namespace mimosadale::router {

class Context;

/// A stage's reply, or how the call failed.
using StageResult = std::variant<schema::StageReply, decide::StageFault>;

/// Speaks docs/protocols/engine.md and keeps the endpoint table informed.
///
/// \par Thread safety
/// Safe from any thread.
class EngineClient {
public:
  /// \pre \p Shared outlives this object.
  explicit EngineClient(Context &Shared) : m_Shared(Shared) {}

  /// Makes a stage call. Gives up at \p Deadline, or earlier when the engine is
  /// silent for longer than its recent replies make likely.
  /// \param Patience factor on that bound; rises when an engine answers probes.
  boost::asio::awaitable<StageResult> call(decide::SendStageCall Send,
                                           Instant Deadline, unsigned Patience);

  /// Asks on a new connection whether the engine lives.
  boost::asio::awaitable<bool> probe(EndpointId Endpoint);

  /// Frees what the engine holds for an attempt; failures are of no matter.
  boost::asio::awaitable<void> cancel(decide::CancelStage Cancel);

private:
  Context &m_Shared;
};

} // namespace mimosadale::router

#endif
