#include "forward/reach_exchange.h"

#include "forward/engine_client.h"
#include "forward/sleep.h"
#include "platform/names.h"
#include "router/log.h"
#include "schema/generated/reach.pb.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// Routers that are asked at a time: more than one, as the first may be cut off
// too.
constexpr std::size_t RoutersAsked = 2;

// Endpoints that one question may name.
constexpr int MaxEndpoints = 64;

// Time in which an endpoint that is alive answers a poll, and for which an
// answer is awaited: the latency between data centres on top. Layers that are
// to be ordered wait as long.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(100);
constexpr Duration AnswerTimeout = std::chrono::milliseconds(160);

constexpr Duration EndCheckInterval = std::chrono::milliseconds(2);

constexpr std::size_t MaxAnswerBytes = 1u << 16;

} // namespace

// Calls that run at a time, and what they found.
struct ReachExchange::Round {
  std::size_t m_Running = 0;
  std::vector<EndpointId> m_Reached;
};

asio::awaitable<void> ReachExchange::ask(std::vector<EndpointId> Endpoints) {
  schema::ReachQuestion Question;
  for (const EndpointId &Endpoint : Endpoints)
    if (Question.endpoints_size() < MaxEndpoints)
      Question.add_endpoints(Endpoint.str());
  std::vector<std::string> Others;
  for (const auto &[Name, Router] : m_State.m_RoutersByName)
    if (Name != m_State.m_Settings.name())
      Others.push_back(Name);
  std::vector<std::string> Drawn;
  std::sample(Others.begin(), Others.end(), std::back_inserter(Drawn),
              RoutersAsked, m_State.m_Random);
  const auto Asked = std::make_shared<Round>();
  for (std::string &Router : Drawn)
    asio::co_spawn(
        m_State.m_Io,
        askRouter(std::move(Router), Question.SerializeAsString(), Asked),
        asio::detached);
  co_await awaitEnd(Asked, AnswerTimeout);
  for (const EndpointId &Endpoint : Asked->m_Reached)
    m_State.onReachedElsewhere(Endpoint);
}

asio::awaitable<void> ReachExchange::askRouter(std::string Router,
                                               std::string Body,
                                               std::shared_ptr<Round> Asked) {
  const auto Found = m_State.m_RoutersByName.find(Router);
  if (Found == m_State.m_RoutersByName.end())
    co_return;
  ++Asked->m_Running;
  net::ExchangeOptions Options;
  Options.m_ConnectTimeout = AnswerTimeout;
  Options.m_Timeout = AnswerTimeout;
  Options.m_MaxBodyBytes = MaxAnswerBytes;
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = ReachPath;
  Request.m_Body = std::move(Body);
  std::string Detail;
  try {
    const net::HttpResponse Response = co_await m_State.m_Client.exchange(
        net::parseAddress(Found->second.m_PeerAddress), std::move(Request),
        Options);
    schema::ReachAnswer Answer;
    if (Response.m_Status != 200 || !Answer.ParseFromString(Response.m_Body))
      throw Error("not a ReachAnswer, status " +
                  std::to_string(Response.m_Status));
    for (const std::string &Endpoint : Answer.reached()) {
      Asked->m_Reached.emplace_back(Endpoint);
      Detail += (Detail.empty() ? "reaches " : " ") + Endpoint;
    }
  } catch (const std::exception &Ex) {
    Detail = Ex.what();
  }
  --Asked->m_Running;
  m_State.m_Metrics.countEvent("reach_asked");
  router::logEvent(
      schema::INFO, "reach_asked",
      {{"router", Router},
       {"outcome", Detail.empty() ? "reaches none of them" : Detail}});
}

asio::awaitable<net::HttpResponse> ReachExchange::answer(std::string Body) {
  net::HttpResponse Response;
  schema::ReachQuestion Question;
  if (!Question.ParseFromString(Body) ||
      Question.endpoints_size() > MaxEndpoints) {
    Response.m_Status = 400;
    co_return Response;
  }
  const auto Asked = std::make_shared<Round>();
  for (const std::string &Endpoint : Question.endpoints())
    asio::co_spawn(m_State.m_Io, probe(EndpointId(Endpoint), Asked),
                   asio::detached);
  co_await awaitEnd(Asked, ProbeTimeout);
  schema::ReachAnswer Answer;
  for (const EndpointId &Endpoint : Asked->m_Reached)
    Answer.add_reached(Endpoint.str());
  Response.m_Headers.push_back({"Content-Type", "application/octet-stream"});
  Response.m_Body = Answer.SerializeAsString();
  co_return Response;
}

asio::awaitable<void> ReachExchange::probe(EndpointId Endpoint,
                                           std::shared_ptr<Round> Asked) {
  const Instant Now = ForwardState::now();
  const auto *Known = m_State.m_Fleet.find(Endpoint);
  if (!Known || Known->paused(Now) ||
      !m_State.m_Limits.admitsPoll(Endpoint, decide::PollUrgency::Urgent, Now))
    co_return;
  ++Asked->m_Running;
  net::HttpRequest Request;
  Request.m_Target = platform::ReportPath;
  try {
    const net::HttpResponse Response =
        co_await callEngine(m_State, Endpoint, Request, ProbeTimeout);
    if (Response.m_Status != 421) // another one has its address
      Asked->m_Reached.push_back(Endpoint);
  } catch (const std::exception &) {
    // It is not reached. Its own polls decide what that means to this router.
  }
  --Asked->m_Running;
}

asio::awaitable<void> ReachExchange::awaitEnd(std::shared_ptr<Round> Asked,
                                              Duration Limit) {
  const Instant End = ForwardState::now() + Limit;
  do
    co_await sleepFor(m_State.m_Io, EndCheckInterval);
  while (Asked->m_Running > 0 && ForwardState::now() < End);
}

} // namespace mimosadale::forward
