#include "router/claim_run.h"

#include "decide/trace.h"
#include "router/claim_store.h"
#include "router/context.h"
#include "router/service_client.h"
#include "router/trace_file.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadale::router {

namespace asio = boost::asio;

ClaimRun::ClaimRun(Context &Ctx, ClaimStore &Claims,
                   const HolderQuery &QueryHolder,
                   const decide::ClaimParams &Start, net::HttpRequest Request,
                   Duration ServiceTimeout)
    : m_Context(Ctx), m_Claims(Claims), m_QueryHolder(QueryHolder),
      m_Attempt(Start.m_Attempt), m_Service(Start.m_Service),
      m_Deadline(Start.m_Deadline),
      m_DispatchDeadline(Start.m_DispatchDeadline),
      m_Request(std::move(Request)), m_ServiceTimeout(ServiceTimeout),
      m_Strand(asio::make_strand(Ctx.m_Executor)), m_AnswerReady(m_Strand),
      m_Claim(Start) {
  beginTrace(Start);
}

// Called by the constructor. All steps are recorded on the strand, in the order
// in which the claim takes them.
void ClaimRun::beginTrace(const decide::ClaimParams &Start) {
  if (m_Context.m_Settings.log().trace_folder().empty())
    return;
  m_TraceStart = Context::now();
  const auto microsSinceStart = [this](Instant Time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(Time -
                                                                 m_TraceStart)
        .count();
  };
  m_Trace.emplace();
  m_Trace->set_attempt(m_Attempt.str());
  m_Trace->set_deadline_us(microsSinceStart(Start.m_Deadline));
  m_Trace->set_send_before_us(microsSinceStart(Start.m_DispatchDeadline));
  m_Trace->set_trusted_not_run(Start.m_TrustNotRun);
  m_Trace->set_body_sha256(Start.m_BodyHash);
}

schema::ClaimTraceStep *ClaimRun::traceStep() {
  if (!m_Trace)
    return nullptr;
  schema::ClaimTraceStep *Step = m_Trace->add_steps();
  Step->set_at_us(std::chrono::duration_cast<std::chrono::microseconds>(
                      Context::now() - m_TraceStart)
                      .count());
  return Step;
}

decide::ClaimActions ClaimRun::recordActions(decide::ClaimActions Actions) {
  if (m_Trace)
    for (const std::string &Line : decide::describeActions(Actions))
      m_Trace->mutable_steps(m_Trace->steps_size() - 1)->add_actions(Line);
  return Actions;
}

void ClaimRun::endTrace() {
  if (m_Trace)
    writeTrace(m_Context.m_Settings.log().trace_folder(),
               "claim-" + m_Attempt.str(), *m_Trace);
}

asio::awaitable<ClaimAnswer> ClaimRun::answer() {
  const auto Self = shared_from_this();
  m_Context.m_Requests.beginClaim(m_Attempt);
  auto Operation = waitForAnswer();
  co_return co_await asio::co_spawn(m_Strand, std::move(Operation),
                                    asio::use_awaitable);
}

asio::awaitable<ClaimAnswer> ClaimRun::waitForAnswer() {
  m_AnswerReady.expires_at(m_Deadline);
  asio::co_spawn(
      m_Strand,
      [Self = shared_from_this()]() -> asio::awaitable<void> {
        co_await Self->run();
      },
      asio::detached);
  boost::system::error_code Ignored;
  co_await m_AnswerReady.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  if (!m_Answer) {
    if (auto *Step = traceStep())
      Step->set_deadline(true);
    for (decide::ClaimAction &Action : recordActions(m_Claim.onDeadline()))
      trySetAnswer(Action);
  }
  co_return *m_Answer;
}

// Stores the caller's answer and wakes `waitForAnswer`. Returns false if the
// action is not an answer.
bool ClaimRun::trySetAnswer(decide::ClaimAction &Action) {
  if (auto *Answer = std::get_if<decide::AnswerCall>(&Action))
    m_Answer = std::move(*Answer);
  else if (auto *Refusal = std::get_if<decide::RefuseCall>(&Action))
    m_Answer = std::move(*Refusal);
  else
    return false;
  m_AnswerReady.expires_at(Instant::min());
  return true;
}

asio::awaitable<void> ClaimRun::run() {
  if (auto *Step = traceStep())
    Step->set_start(true);
  decide::ClaimActions Actions = recordActions(m_Claim.start(Context::now()));
  while (!Actions.empty()) {
    decide::ClaimActions Next;
    for (decide::ClaimAction &Action : Actions) {
      if (trySetAnswer(Action))
        continue;
      Next = co_await execute(std::move(Action));
    }
    Actions = std::move(Next);
  }
  endTrace();
  m_Context.m_Requests.endClaim(m_Attempt);
}

asio::awaitable<decide::ClaimActions>
ClaimRun::execute(decide::ClaimAction Action) {
  if (auto *Write = std::get_if<decide::WriteClaim>(&Action)) {
    const bool Urgent = !m_Claim.answered();
    const decide::ClaimWriteResult Result =
        co_await m_Claims.write(std::move(*Write), Urgent);
    if (auto *Step = traceStep()) {
      Step->mutable_write()->set_kind(decide::traceName(Result.m_Kind));
      Step->mutable_write()->set_version(Result.m_Version);
      *Step->mutable_write()->mutable_row() = Result.m_Row;
    }
    co_return recordActions(m_Claim.onWrite(Result, Context::now()));
  }
  if (auto *Query = std::get_if<decide::QueryHolder>(&Action)) {
    const decide::HolderStatus Statement = co_await m_QueryHolder(Query->m_Row);
    if (auto *Step = traceStep())
      Step->set_holder(decide::traceName(Statement));
    co_return recordActions(m_Claim.onHolderStatus(Statement));
  }
  const decide::ClaimDispatchResult Result = co_await dispatch();
  if (auto *Step = traceStep()) {
    Step->mutable_dispatch()->set_kind(decide::traceName(Result.m_Kind));
    Step->mutable_dispatch()->set_status(Result.m_Status);
  }
  co_return recordActions(m_Claim.onDispatch(Result, Context::now()));
}

asio::awaitable<decide::ClaimDispatchResult> ClaimRun::dispatch() {
  decide::ClaimDispatchResult Result;
  Result.m_Kind = decide::ClaimDispatchResult::Kind::NeverSent;
  // The clock is read right before sending: a holder that was suspended past
  // m_DispatchDeadline must not send, since its caller has been told that the
  // call did not run.
  if (Context::now() >= m_DispatchDeadline)
    co_return Result;
  ServiceClient Services(m_Context);
  const ServiceDispatch Dispatch = co_await Services.send(
      m_Service, m_Request, m_ServiceTimeout, m_Unreachable);
  m_Context.m_Requests.addEvent(RequestId(m_Attempt.str()),
                                "sent to " + Dispatch.m_Endpoint.str(),
                                Context::now());
  if (Dispatch.m_Result.m_Kind ==
      decide::ClaimDispatchResult::Kind::NeverSent) {
    m_Unreachable.insert(Dispatch.m_Endpoint);
    m_Context.m_Metrics.countRetry(schema::SERVICE_NOT_SENT);
  }
  co_return Dispatch.m_Result;
}

} // namespace mimosadale::router
