#include "forward/engine_client.h"

#include "decide/answer_rule.h"
#include "platform/names.h"

#include <boost/asio/steady_timer.hpp>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// A connection that was idle for longer is not reused for a short call.
constexpr Duration MaxIdleTime = std::chrono::seconds(3);

// Limit of the answer to a poll or an order: several times that of a report
// with all streams stalled. The reader of a large data centre polls hundreds of
// engines at a time.
constexpr std::size_t MaxAnswerBytes = 128u << 10;

// Cancels an exchange when its timeout expires.
struct CallTimeout {
  CallTimeout(asio::io_context &Io, Duration Timeout) : m_Timer(Io, Timeout) {}

  asio::steady_timer m_Timer;
  std::function<void()> m_Cancel;
  bool m_Expired = false;
};

} // namespace

asio::awaitable<net::HttpResponse> callEngine(ForwardState &State,
                                              EndpointId To,
                                              net::HttpRequest Request,
                                              Duration Timeout) {
  const auto *Engine = State.m_Fleet.find(To);
  if (!Engine)
    throw net::NetError(net::Phase::Connect, false, "engine is not registered");
  const net::Address Address = net::parseAddress(Engine->m_Record.m_Address);
  Request.m_Headers.push_back({"Host", Engine->m_Record.m_Address});
  Request.m_Headers.push_back({platform::ExpectInstanceHeader, To.str()});
  const auto Limit = std::make_shared<CallTimeout>(State.m_Io, Timeout);
  Limit->m_Timer.async_wait([Limit](const boost::system::error_code &Canceled) {
    if (Canceled)
      return;
    Limit->m_Expired = true;
    if (Limit->m_Cancel)
      Limit->m_Cancel();
  });
  const std::shared_ptr<void> StopTimer(nullptr, [Limit](void *) {
    Limit->m_Cancel = nullptr;
    Limit->m_Timer.cancel();
  });
  std::function<void(std::function<void()>)> SetCancel =
      [Limit](std::function<void()> Cancel) {
        Limit->m_Cancel = std::move(Cancel);
      };
  // Only new connections show that a cut has ended.
  const Duration MaxIdle = State.m_Reach.cutOff() ? Duration{} : MaxIdleTime;
  const auto Upstream =
      co_await State.m_Pool->open(Address, MaxIdle, std::move(SetCancel));
  if (Limit->m_Expired)
    throw net::NetError(net::Phase::Connect, true,
                        "timed out while connecting");
  Limit->m_Cancel = [Exchange = Upstream.get()] { Exchange->cancel(); };
  State.onSent(To);
  const Instant SentAt = ForwardState::now();
  co_await Upstream->send(std::move(Request));
  std::function<bool(const net::HttpResponse &)> IsOwnAnswer =
      [Reused = Upstream->connectionReused()](const net::HttpResponse &Head) {
        return decide::answerOwner(
                   platform::decodeResponseHeaders(Head).m_RequestId, "",
                   Reused) == decide::AnswerOwner::Ours;
      };
  net::HttpResponse Answer =
      co_await Upstream->readHead(std::move(IsOwnAnswer));
  State.onConnectionAnswered(To, Upstream->connectionReused());
  State.onAnswer(To, platform::decodeResponseHeaders(Answer),
                 ForwardState::CallPurpose::PollOrOrder, SentAt);
  while (co_await Upstream->readSome(Answer.m_Body))
    if (Answer.m_Body.size() > MaxAnswerBytes)
      throw net::OversizeError("answer without end");
  co_return Answer;
}

} // namespace mimosadale::forward
