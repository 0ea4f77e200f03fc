// Client of model engines.
#ifndef MIMOSADALE_ROUTER_ENGINE_CLIENT_H
#define MIMOSADALE_ROUTER_ENGINE_CLIENT_H

#include "base/units.h"
#include "decide/pipeline.h"

#include <boost/asio/awaitable.hpp>
#include <variant>

namespace mimosadale::router {

class Context;

/// The reply to a stage call, or the fault that ended it.
using StageResult = std::variant<schema::StageReply, decide::StageFault>;

/// Implements docs/protocols/engine.md. Reports the outcomes of calls and
/// probes to the endpoint table.
///
/// \par Thread safety
/// Safe from any thread.
class EngineClient {
public:
  /// \pre \p Ctx outlives this object.
  explicit EngineClient(Context &Ctx) : m_Context(Ctx) {}

  /// Makes a stage call. Fails at \p Deadline, or earlier if the engine does
  /// not reply within the bound that its recent replies give.
  /// \param TimeoutFactor multiplies that bound; raised when the engine answers
  /// probes during a call.
  boost::asio::awaitable<StageResult>
  call(decide::SendStageCall Send, Instant Deadline, unsigned TimeoutFactor);

  /// Checks on a new connection whether the endpoint responds.
  boost::asio::awaitable<bool> probe(EndpointId Endpoint);

  /// Frees the engine's state of an attempt. Failures are only counted.
  boost::asio::awaitable<void> cancel(decide::CancelStage Cancel);

private:
  Context &m_Context;
};

} // namespace mimosadale::router

#endif
