#include "forward/engine_client.h"

#include "decide/answer_rule.h"
#include "platform/names.h"

#include <boost/asio/steady_timer.hpp>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// Idle time up to which a connection is used for another short call.
constexpr Duration MostIdle = std::chrono::seconds(3);

// Ends an exchange when its time is over.
struct TimeLimit {
  TimeLimit(asio::io_context &Io, Duration Timeout) : m_Timer(Io, Timeout) {}

  asio::steady_timer m_Timer;
  std::function<void()> m_Cancel;
  bool m_Over = false;
};

} // namespace

asio::awaitable<net::HttpResponse> callEngine(ForwardState &Shared,
                                              EndpointId To,
                                              net::HttpRequest Request,
                                              Duration Timeout) {
  const auto *Known = Shared.m_Fleet.find(To);
  if (!Known)
    throw net::NetError(net::Phase::Connect, false, "engine is gone");
  const net::Address At = net::parseAddress(Known->m_Record.m_Address);
  Request.m_Headers.push_back({"Host", Known->m_Record.m_Address});
  Request.m_Headers.push_back({platform::ExpectInstanceHeader, To.str()});
  const auto Limit = std::make_shared<TimeLimit>(Shared.m_Io, Timeout);
  Limit->m_Timer.async_wait([Limit](const boost::system::error_code &Stopped) {
    if (Stopped)
      return;
    Limit->m_Over = true;
    if (Limit->m_Cancel)
      Limit->m_Cancel();
  });
  const std::shared_ptr<void> Stop(nullptr, [Limit](void *) {
    Limit->m_Cancel = nullptr;
    Limit->m_Timer.cancel();
  });
  std::function<void(std::function<void()>)> Begun =
      [Limit](std::function<void()> Cancel) {
        Limit->m_Cancel = std::move(Cancel);
      };
  const auto Open =
      co_await Shared.m_Pool->open(At, MostIdle, std::move(Begun));
  if (Limit->m_Over)
    throw net::NetError(net::Phase::Connect, true, "timed out");
  Limit->m_Cancel = [Exchange = Open.get()] { Exchange->cancel(); };
  co_await Open->send(std::move(Request));
  std::function<bool(const net::HttpResponse &)> IsOurs =
      [Kept = Open->connectionReused()](const net::HttpResponse &Each) {
        return decide::answerOwner(platform::decodeAnswer(Each).m_RequestId, "",
                                   Kept) == decide::AnswerOwner::Ours;
      };
  net::HttpResponse Answer = co_await Open->readHead(std::move(IsOurs));
  Shared.onAnswer(To, platform::decodeAnswer(Answer));
  while (co_await Open->readSome(Answer.m_Body))
    ;
  co_return Answer;
}

} // namespace mimosadale::forward
