#include "router/claim_run.h"

#include "router/claim_store.h"
#include "router/context.h"
#include "router/service_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadale::router {

namespace asio = boost::asio;

ClaimRun::ClaimRun(Context &Shared, ClaimStore &Claims,
                   const HolderHook &AskHolder, decide::ClaimStart Start,
                   net::HttpRequest Request, Duration ServiceTimeout)
    : m_Shared(Shared), m_Claims(Claims), m_AskHolder(AskHolder),
      m_Attempt(Start.m_Attempt), m_Service(Start.m_Service),
      m_Deadline(Start.m_Deadline), m_SendBefore(Start.m_SendBefore),
      m_Request(std::move(Request)), m_ServiceTimeout(ServiceTimeout),
      m_Strand(asio::make_strand(Shared.m_Executor)), m_Answered(m_Strand),
      m_Claim(std::move(Start)) {}

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
  if (!m_Answer)
    for (decide::ClaimAction &Each : m_Claim.onDeadline())
      keepAnswer(Each);
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
  decide::ClaimActions Actions = m_Claim.start(Context::now());
  while (!Actions.empty()) {
    decide::ClaimActions Next;
    for (decide::ClaimAction &Each : Actions) {
      if (keepAnswer(Each))
        continue;
      Next = co_await carryOut(std::move(Each));
    }
    Actions = std::move(Next);
  }
  m_Shared.m_Requests.endClaim(m_Attempt);
}

asio::awaitable<decide::ClaimActions>
ClaimRun::carryOut(decide::ClaimAction Action) {
  if (auto *Write = std::get_if<decide::WriteClaim>(&Action)) {
    const bool Urgent = !m_Claim.answered();
    const decide::ClaimWrite Result =
        co_await m_Claims.write(std::move(*Write), Urgent);
    co_return m_Claim.onWrite(Result, Context::now());
  }
  if (auto *Ask = std::get_if<decide::AskHolder>(&Action)) {
    const decide::HolderWord Word = co_await m_AskHolder(Ask->m_Row);
    co_return m_Claim.onHolder(Word);
  }
  const decide::ClaimDispatch Result = co_await dispatch();
  co_return m_Claim.onDispatch(Result, Context::now());
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
    m_Shared.m_Metrics.retried(schema::SERVICE_NOT_SENT);
  }
  co_return Try.m_Dispatch;
}

} // namespace mimosadale::router
