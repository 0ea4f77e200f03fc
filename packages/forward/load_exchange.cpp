#include "forward/load_exchange.h"

#include "forward/sleep.h"
#include "router/log.h"

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// Limit of a digest: several times that of the largest fleet.
constexpr std::size_t MaxDigestBytes = 2u << 20;

} // namespace

LoadExchange::LoadExchange(ForwardState &State)
    : m_State(State), m_ProcessTag(std::uniform_int_distribution<std::uint64_t>(
                          1)(State.m_Random)) {}

asio::awaitable<void> LoadExchange::run() {
  while (true) {
    if (auto Reader = m_State.m_Readers.reader(ForwardState::now()))
      co_await fetchLoads(std::move(*Reader));
    co_await sleepFor(m_State.m_Io, decide::DigestTracker::interval());
  }
}

asio::awaitable<void> LoadExchange::fetchLoads(std::string Reader) {
  const auto Router = m_State.m_RoutersByName.find(Reader);
  if (Router == m_State.m_RoutersByName.end())
    co_return;
  const Instant AskedAt = ForwardState::now();
  net::ExchangeOptions Options;
  Options.m_ConnectTimeout = PeerTimeout;
  Options.m_Timeout = PeerTimeout;
  Options.m_MaxBodyBytes = MaxDigestBytes;
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = LoadsPath;
  Request.m_Body = m_State.m_LoadSource.question(Reader).SerializeAsString();
  std::string Fault;
  try {
    const net::HttpResponse Answer = co_await m_State.m_Client.exchange(
        net::parseAddress(Router->second.m_PeerAddress), std::move(Request),
        Options);
    if (Answer.m_Status == 200)
      applyDigest(Reader, Answer.m_Body, AskedAt);
    else
      Fault = "status " + std::to_string(Answer.m_Status);
  } catch (const Error &Ex) {
    Fault = Ex.what();
  }
  if (Fault.empty())
    co_return;
  // The failed reader is not used for the registry either: it may hold back
  // changes that are due.
  m_State.m_Readers.onFailed(Reader, ForwardState::now());
  m_State.m_Metrics.countEvent("load_reader_failed");
  router::logEvent(schema::WARN, "load_reader_failed",
                   {{"router", Reader}, {"detail", Fault}});
}

void LoadExchange::applyDigest(const std::string &Reader,
                               const std::string &Body, Instant AskedAt) {
  schema::LoadDigest Digest;
  if (!Digest.ParseFromString(Body))
    throw Error("response is not a valid LoadDigest");
  const decide::DigestResult Applied =
      decide::mergeDigest(m_State.m_Fleet, Digest, AskedAt);
  // That another router reaches an endpoint does not help one that is cut off.
  if (!m_State.m_Reach.cutOff())
    for (const EndpointId &Endpoint : Applied.m_Recovered)
      m_State.trust(Endpoint, "another router's report");
  m_State.m_LoadSource.onDigest(Reader, Digest, Applied.m_Complete,
                                ForwardState::now());
}

net::HttpResponse LoadExchange::answer(const std::string &Body) const {
  const Instant Now = ForwardState::now();
  net::HttpResponse Answer;
  schema::LoadQuestion Query;
  if (!Query.ParseFromString(Body)) {
    Answer.m_Status = 400;
    return Answer;
  }
  if (!m_State.pollingRole(Now).canShareLoads()) {
    Answer.m_Status = 503;
    return Answer;
  }
  Answer.m_Headers.push_back({"Content-Type", "application/octet-stream"});
  Answer.m_Body = decide::makeDigest(m_State.m_Fleet, Query, m_ProcessTag, Now)
                      .SerializeAsString();
  return Answer;
}

} // namespace mimosadale::forward
