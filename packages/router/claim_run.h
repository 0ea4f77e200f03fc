// Carries out one claim, also after its caller was answered.
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

/// The caller's final answer.
using ClaimAnswer = std::variant<decide::AnswerCall, decide::RefuseCall>;

/// Carries out the actions of a `decide::Claim`. It lives on after the caller
/// has its answer, until the row tells the truth.
///
/// \par Thread safety
/// Everything happens on its own strand.
class ClaimRun : public std::enable_shared_from_this<ClaimRun> {
public:
  /// \pre \p Shared, \p Claims and \p AskHolder outlive this object.
  ClaimRun(Context &Shared, ClaimStore &Claims, const HolderHook &AskHolder,
           const decide::ClaimParams &Start, net::HttpRequest Request,
           Duration ServiceTimeout);

  /// Starts the claim. \returns the caller's final answer, at its deadline at
  /// the latest. \pre Called once.
  boost::asio::awaitable<ClaimAnswer> answer();

private:
  boost::asio::awaitable<ClaimAnswer> waitForAnswer();
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<decide::ClaimActions>
  carryOut(decide::ClaimAction Action);
  boost::asio::awaitable<decide::ClaimDispatchResult> dispatch();
  bool keepAnswer(decide::ClaimAction &Action);
  schema::ClaimTraceStep *traceStep();
  decide::ClaimActions traced(decide::ClaimActions Actions);
  void beginTrace(const decide::ClaimParams &Start);
  void endTrace();

  Context &m_Shared;
  ClaimStore &m_Claims;
  const HolderHook &m_AskHolder;
  const AttemptId m_Attempt;
  const ServiceId m_Service;
  const Instant m_Deadline;
  const Instant m_SendBefore;
  const net::HttpRequest m_Request;
  const Duration m_ServiceTimeout;
  boost::asio::strand<boost::asio::any_io_executor> m_Strand;
  boost::asio::steady_timer m_Answered;
  decide::Claim m_Claim;
  std::optional<ClaimAnswer> m_Answer;
  std::optional<schema::ClaimTrace> m_Trace; // recorded when asked for
  Instant m_Begun{};
  decide::EndpointSet m_Unreachable;
};

} // namespace mimosadale::router

#endif
