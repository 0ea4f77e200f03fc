#include "forward/limit_exchange.h"

#include "forward/sleep.h"
#include "router/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// Interval between two rounds of notices; drawn within a quarter of it.
constexpr Duration RoundInterval = std::chrono::milliseconds(400);

// Shortest interval between two rounds: endpoints may name another limit in
// each answer.
constexpr Duration MinRoundInterval = std::chrono::milliseconds(50);

// Largest notice that is accepted.
constexpr std::size_t MaxNoticeBytes = 1u << 20;

} // namespace

LimitExchange::LimitExchange(ForwardState &State)
    : m_State(State), m_NextRound(State.m_Io) {
  m_State.m_TellRouters = [this] {
    m_HasNews = true;
    m_NextRound.cancel();
  };
}

asio::awaitable<void> LimitExchange::run() {
  while (true) {
    std::uniform_int_distribution<Duration::rep> Delay(
        RoundInterval.count() * 3 / 4, RoundInterval.count() * 5 / 4);
    m_NextRound.expires_after(Duration(Delay(m_State.m_Random)));
    boost::system::error_code Ignored;
    if (!m_HasNews)
      co_await m_NextRound.async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
    if (m_State.m_Limits.active() ||
        m_State.m_Suspects.roundDue(ForwardState::now()))
      tellRouters();
    m_HasNews = false;
    co_await sleepFor(m_State.m_Io, MinRoundInterval);
  }
}

void LimitExchange::tellRouters() {
  for (std::string &Router :
       m_State.m_Limits.audience(m_HasNews, m_State.m_Random))
    asio::co_spawn(m_State.m_Io, tell(std::move(Router)), asio::detached);
}

asio::awaitable<void> LimitExchange::tell(std::string Router) {
  const auto Found = m_State.m_RoutersByName.find(Router);
  if (Found == m_State.m_RoutersByName.end())
    co_return;
  const Instant AskedAt = ForwardState::now();
  net::ExchangeOptions Options;
  Options.m_ConnectTimeout = PeerTimeout;
  Options.m_Timeout = PeerTimeout;
  Options.m_MaxBodyBytes = MaxNoticeBytes;
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = LimitsPath;
  Request.m_Body = encodeNotice(AskedAt);
  std::string Fault;
  m_State.m_Metrics.countEvent("limits_told");
  try {
    const net::HttpResponse Answer = co_await m_State.m_Client.exchange(
        net::parseAddress(Found->second.m_PeerAddress), std::move(Request),
        Options);
    if (Answer.m_Status == 200)
      merge(Answer.m_Body, AskedAt);
    else
      Fault = "status " + std::to_string(Answer.m_Status);
  } catch (const std::exception &Ex) {
    Fault = Ex.what();
  }
  if (Fault.empty())
    co_return;
  m_State.m_Metrics.countEvent("limits_not_told");
  router::logEvent(schema::INFO, "limits_not_told",
                   {{"router", Router}, {"detail", Fault}});
}

// \throws Error if \p Body is no notice.
void LimitExchange::merge(const std::string &Body, Instant RequestedAt) {
  schema::LimitNotice Notice;
  if (!Notice.ParseFromString(Body))
    throw Error("not a valid LimitNotice");
  for (const auto &[Endpoint, Change] :
       m_State.m_Limits.merge(Notice, RequestedAt, ForwardState::now()))
    m_State.onLimitChange(Endpoint, Change, Notice.router());
  m_State.onMarksChanged(m_State.m_Suspects.merge(Notice, ForwardState::now()),
                         Notice.router(), ForwardState::SeenBy::Other);
}

std::string LimitExchange::encodeNotice(Instant Now) {
  schema::LimitNotice Notice = m_State.m_Limits.notice(Now);
  m_State.m_Suspects.addTo(Notice, Now);
  return Notice.SerializeAsString();
}

net::HttpResponse LimitExchange::answer(const std::string &Body) {
  net::HttpResponse Answer;
  try {
    merge(Body, ForwardState::now());
  } catch (const Error &Ex) {
    router::logEvent(schema::WARN, "limits_unreadable",
                     {{"detail", Ex.what()}});
    Answer.m_Status = 400;
    return Answer;
  }
  Answer.m_Headers.push_back({"Content-Type", "application/octet-stream"});
  Answer.m_Body = encodeNotice(ForwardState::now());
  return Answer;
}

} // namespace mimosadale::forward
