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

ClaimRun::ClaimRun(Context &Shared, ClaimStore &Claims,
                   const HolderHook &AskHolder, const decide::ClaimStart &Start,
                   net::HttpRequest Request, Duration ServiceTimeout)
    : m_Shared(Shared), m_Claims(Claims), m_AskHolder(AskHolder),
      m_Attempt(Start.m_Attempt), m_Service(Start.m_Service),
      m_Deadline(Start.m_Deadline), m_SendBefore(Start.m_SendBefore),
      m_Request(std::move(Request)), m_ServiceTimeout(ServiceTimeout),
      m_Strand(asio::make_strand(Shared.m_Executor)), m_Answered(m_Strand),
      m_Claim(Start) {
  beginTrace(Start);
}

// Recording happens on the strand only, as the claim's own steps do.
void ClaimRun::beginTrace(const decide::ClaimStart &Start) {
  if (m_Shared.m_Settings.log().trace_folder().empty())
    return;
  m_Begun = Context::now();
  const auto since = [this](Instant Then) {
    return std::chrono::duration_cast<std::chrono::microseconds>(Then - m_Begun)
        .count();
  };
  m_Trace.emplace();
  m_Trace->set_attempt(m_Attempt.str());
  m_Trace->set_deadline_us(since(Start.m_Deadline));
  m_Trace->set_send_before_us(since(Start.m_SendBefore));
  m_Trace->set_trusted_not_run(Start.m_TrustedNotRun);
  m_Trace->set_body_sha256(Start.m_BodyHash);
}

schema::ClaimTraceStep *ClaimRun::traceStep() {
  if (!m_Trace)
    return nullptr;
  schema::ClaimTraceStep *Step = m_Trace->add_steps();
  Step->set_at_us(std::chrono::duration_cast<std::chrono::microseconds>(
                      Context::now() - m_Begun)
                      .count());
  return Step;
}

decide::ClaimActions ClaimRun::traced(decide::ClaimActions Actions) {
  if (m_Trace)
    for (const std::string &Line : decide::describeActions(Actions))
      m_Trace->mutable_steps(m_Trace->steps_size() - 1)->add_actions(Line);
  return Actions;
}

void ClaimRun::endTrace() {
  if (m_Trace)
    writeTrace(m_Shared.m_Settings.log().trace_folder(),
               "claim-" + m_Attempt.str(), *m_Trace);
}

asio::awaitable<ClaimAnswer> ClaimRun::answer() {
  const auto Self = shared_from_this();
  m_Shared.m_Requests.beginClaim(m_Attempt);
  auto Waiting = waitForAnswer();
  co_return co_await asio::co_spawn(m_Strand, std::move(Waiting),
                                    asio::use_awaitable);
}

asio::awaitable<ClaimAnswer> ClaimRun::waitForAnswer() {
  m_Answered.expires_at(m_Deadline);
  asio::co_spawn(
      m_Strand,
      [Self = shared_from_this()]() -> asio::awaitable<void> {
        co_await Self->run();
      },
      asio::detached);
  boost::system::error_code Woken;
  co_await m_Answered.async_wait(
      asio::redirect_error(asio::use_awaitable, Woken));
  if (!m_Answer) {
    if (auto *Step = traceStep())
      Step->set_deadline(true);
    for (decide::ClaimAction &Each : traced(m_Claim.onDeadline()))
      keepAnswer(Each);
  }
  co_return *m_Answer;
}

// Keeps the caller's answer and wakes who waits for it. False when the action
// is another one.
bool ClaimRun::keepAnswer(decide::ClaimAction &Action) {
  if (auto *Answer = std::get_if<decide::AnswerClaim>(&Action))
    m_Answer = std::move(*Answer);
  else if (auto *Refused = std::get_if<decide::RefuseClaim>(&Action))
    m_Answer = std::move(*Refused);
  else
    return false;
  m_Answered.expires_at(Instant::min());
  return true;
}

asio::awaitable<void> ClaimRun::run() {
  if (auto *Step = traceStep())
    Step->set_start(true);
  decide::ClaimActions Actions = traced(m_Claim.start(Context::now()));
  while (!Actions.empty()) {
    decide::ClaimActions Next;
    for (decide::ClaimAction &Each : Actions) {
      if (keepAnswer(Each))
        continue;
      Next = co_await carryOut(std::move(Each));
    }
    Actions = std::move(Next);
  }
  endTrace();
  m_Shared.m_Requests.endClaim(m_Attempt);
}

asio::awaitable<decide::ClaimActions>
ClaimRun::carryOut(decide::ClaimAction Action) {
  if (auto *Write = std::get_if<decide::WriteClaim>(&Action)) {
    const bool Urgent = !m_Claim.answered();
    const decide::ClaimWrite Result =
        co_await m_Claims.write(std::move(*Write), Urgent);
    if (auto *Step = traceStep()) {
      Step->mutable_write()->set_kind(decide::nameOf(Result.m_Kind));
      Step->mutable_write()->set_version(Result.m_Version);
      *Step->mutable_write()->mutable_row() = Result.m_Row;
    }
    co_return traced(m_Claim.onWrite(Result, Context::now()));
  }
  if (auto *Ask = std::get_if<decide::AskHolder>(&Action)) {
    const decide::HolderWord Word = co_await m_AskHolder(Ask->m_Row);
    if (auto *Step = traceStep())
      Step->set_holder(decide::nameOf(Word));
    co_return traced(m_Claim.onHolder(Word));
  }
  const decide::ClaimDispatch Result = co_await dispatch();
  if (auto *Step = traceStep()) {
    Step->mutable_dispatch()->set_kind(decide::nameOf(Result.m_Kind));
    Step->mutable_dispatch()->set_status(Result.m_Status);
  }
  co_return traced(m_Claim.onDispatch(Result, Context::now()));
}

asio::awaitable<decide::ClaimDispatch> ClaimRun::dispatch() {
  decide::ClaimDispatch Result;
  Result.m_Kind = decide::ClaimDispatch::Kind::NeverSent;
  // The clock is read as late as can be: a holder paused until now must not
  // send, since its caller has been told that the call did not run.
  if (Context::now() >= m_SendBefore)
    co_return Result;
  ServiceClient Services(m_Shared);
  const ServiceTry Try = co_await Services.send(
      m_Service, m_Request, m_ServiceTimeout, m_Unreachable);
  m_Shared.m_Requests.note(RequestId(m_Attempt.str()),
                           "sent to " + Try.m_Endpoint.str(), Context::now());
  if (Try.m_Dispatch.m_Kind == decide::ClaimDispatch::Kind::NeverSent) {
    m_Unreachable.insert(Try.m_Endpoint);
    m_Shared.m_Metrics.countRetry(schema::SERVICE_NOT_SENT);
  }
  co_return Try.m_Dispatch;
}

} // namespace mimosadale::router
