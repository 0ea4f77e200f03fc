// Execution of one claim, which may outlast the caller's request.
#ifndef MIMOSADALE_ROUTER_CLAIM_RUN_H
#define MIMOSADALE_ROUTER_CLAIM_RUN_H

#include "decide/claim.h"
#include "decide/path.h"
#include "net/http.h"
#include "router/service_call.h"
#include "schema/generated/trace.pb.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <memory>
#include <optional>

namespace mimosadale::router {

class ClaimStore;
class Context;

/// The final answer to the caller.
using ClaimAnswer = std::variant<decide::AnswerCall, decide::RefuseCall>;

/// Executes the actions of a `decide::Claim`. Continues after the caller has
/// its answer, until the row records the outcome of the call.
///
/// \par Thread safety
/// `answer` is safe from any thread; everything else runs on the object's
/// strand.
class ClaimRun : public std::enable_shared_from_this<ClaimRun> {
public:
  /// \pre \p Ctx, \p Claims and \p QueryHolder outlive this object.
  ClaimRun(Context &Ctx, ClaimStore &Claims, const HolderQuery &QueryHolder,
           const decide::ClaimParams &Start, net::HttpRequest Request,
           Duration ServiceTimeout);

  /// Starts the claim. \returns the final answer to the caller, at the deadline
  /// at the latest. \pre Called once.
  boost::asio::awaitable<ClaimAnswer> answer();

private:
  boost::asio::awaitable<ClaimAnswer> waitForAnswer();
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<decide::ClaimActions>
  execute(decide::ClaimAction Action);
  boost::asio::awaitable<decide::ClaimDispatchResult> dispatch();
  bool trySetAnswer(decide::ClaimAction &Action);
  schema::ClaimTraceStep *traceStep();
  decide::ClaimActions recordActions(decide::ClaimActions Actions);
  void beginTrace(const decide::ClaimParams &Start);
  void endTrace();

  Context &m_Context;
  ClaimStore &m_Claims;
  const HolderQuery &m_QueryHolder;
  const AttemptId m_Attempt;
  const ServiceId m_Service;
  const Instant m_Deadline;
  const Instant m_DispatchDeadline;
  const net::HttpRequest m_Request;
  const Duration m_ServiceTimeout;
  boost::asio::strand<boost::asio::any_io_executor> m_Strand;
  boost::asio::steady_timer m_AnswerReady;
  decide::Claim m_Claim;
  std::optional<ClaimAnswer> m_Answer;
  std::optional<schema::ClaimTrace> m_Trace; // if a trace folder is set
  Instant m_TraceStart{};
  decide::EndpointSet m_Unreachable;
};

} // namespace mimosadale::router

#endif
