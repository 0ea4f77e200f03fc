#include "forward/load_exchange.h"

#include "forward/pause.h"
#include "router/log.h"

namespace mimosadale::forward {

namespace asio = boost::asio;

LoadExchange::LoadExchange(ForwardState &Shared)
    : m_Shared(Shared), m_Start(std::uniform_int_distribution<std::uint64_t>(1)(
                            Shared.m_Random)) {}

asio::awaitable<void> LoadExchange::run() {
  while (true) {
    if (auto Reader = m_Shared.m_Readers.reader(ForwardState::now()))
      co_await ask(std::move(*Reader));
    co_await pauseFor(m_Shared.m_Io, decide::LoadSource::pause());
  }
}

asio::awaitable<void> LoadExchange::ask(std::string Reader) {
  const auto Place = m_Shared.m_RouterPlaces.find(Reader);
  if (Place == m_Shared.m_RouterPlaces.end())
    co_return;
  const Instant Asked = ForwardState::now();
  net::ExchangeOptions Options;
  Options.m_ConnectTimeout = RouterAnswerTime;
  Options.m_Timeout = RouterAnswerTime;
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = LoadsPath;
  Request.m_Body = m_Shared.m_Loads.question(Reader).SerializeAsString();
  std::string Fault;
  try {
    const net::HttpResponse Answer = co_await m_Shared.m_Client.exchange(
        net::parseAddress(Place->second.m_PeerAddress), std::move(Request),
        Options);
    if (Answer.m_Status == 200)
      take(Reader, Answer.m_Body, Asked);
    else
      Fault = "status " + std::to_string(Answer.m_Status);
  } catch (const Error &Wrong) {
    Fault = Wrong.what();
  }
  if (Fault.empty())
    co_return;
  // It is passed over for the registry too: what it did not tell may be due.
  m_Shared.m_Readers.onFailed(Reader, ForwardState::now());
  m_Shared.m_Metrics.counted("load_reader_failed");
  router::logEvent(schema::WARN, "load_reader_failed",
                   {{"router", Reader}, {"detail", Fault}});
}

void LoadExchange::take(const std::string &Reader, const std::string &Body,
                        Instant Asked) {
  schema::LoadDigest Digest;
  if (!Digest.ParseFromString(Body))
    throw Error("loads that cannot be read");
  const decide::DigestTaken Taken =
      decide::takeDigest(m_Shared.m_Fleet, Digest, Asked);
  for (const EndpointId &Each : Taken.m_Back)
    m_Shared.trust(Each, "another router's report");
  m_Shared.m_Loads.onDigest(Reader, Digest, Taken.m_Whole, ForwardState::now());
}

net::HttpResponse LoadExchange::answer(const std::string &Question) const {
  const Instant Now = ForwardState::now();
  net::HttpResponse Answer;
  schema::LoadQuestion Asked;
  if (!Asked.ParseFromString(Question)) {
    Answer.m_Status = 400;
    return Answer;
  }
  if (!m_Shared.askers(Now).mayTell()) {
    Answer.m_Status = 503;
    return Answer;
  }
  Answer.m_Headers.push_back({"Content-Type", "application/octet-stream"});
  Answer.m_Body = decide::digestOf(m_Shared.m_Fleet, Asked, m_Start, Now)
                      .SerializeAsString();
  return Answer;
}

} // namespace mimosadale::forward
