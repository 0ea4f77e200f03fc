#include "router/config_watch.h"

#include "router/context.h"
#include "router/log.h"
#include "router/peer_link.h"
#include "store/digest.h"
#include "store/store_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadale::router {

namespace asio = boost::asio;

namespace {

// Interval between calls of `ConfigAdoption::pollDue`.
constexpr Duration PollCheckInterval = std::chrono::milliseconds(100);

// Drains and the host list are polled once in this many polls of the
// generation.
constexpr std::uint64_t GenerationPollsPerHostPoll = 2;

Duration pollInterval(const Context &Ctx) {
  return std::chrono::milliseconds(Ctx.m_Settings.platform().poll_ms());
}

} // namespace

ConfigWatch::ConfigWatch(Context &Ctx, PeerLink &Peers)
    : m_Context(Ctx), m_Peers(Peers),
      m_Strand(asio::make_strand(Ctx.m_Executor)),
      m_Adoption(pollInterval(Ctx)) {}

void ConfigWatch::start() {
  asio::co_spawn(m_Strand, runPollLoop(), asio::detached);
}

void ConfigWatch::onNewerGeneration(schema::PeerRecord Peer) {
  asio::co_spawn(m_Strand, fetchFromPeer(std::move(Peer)), asio::detached);
}

asio::awaitable<void> ConfigWatch::runPollLoop() {
  asio::steady_timer Timer(m_Strand);
  while (true) {
    const auto AliveRouters =
        m_Peers.withLock([](const decide::Membership &Members) {
          return Members.aliveInDataCentre();
        });
    if (m_Adoption.pollDue(m_Context.m_Settings.name(), AliveRouters,
                           Context::now()))
      co_await poll();
    Timer.expires_after(PollCheckInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> ConfigWatch::poll() {
  try {
    co_await pollGeneration();
    if (m_Polls++ % GenerationPollsPerHostPoll == 0) {
      co_await pollDrains();
      co_await pollHosts();
    }
    m_Context.m_Metrics.setGauge("platform_up", 1);
  } catch (const store::StoreError &Failure) {
    m_Context.m_Metrics.countEvent("platform_failed");
    m_Context.m_Metrics.setGauge("platform_up", 0);
    logEvent(schema::DEBUG, "platform_failed", {{"detail", Failure.what()}});
  }
}

asio::awaitable<void> ConfigWatch::pollGeneration() {
  const auto Stored = co_await m_Context.m_ConfigStore.current();
  const std::uint64_t StoredGeneration =
      Stored ? Stored->m_Row.generation() : 0;
  switch (m_Adoption.checkGeneration(static_cast<Generation>(StoredGeneration),
                                     true)) {
  case decide::GenerationCheck::Newer:
    co_await fetchAndAdopt(Stored->m_Row, "");
    break;
  case decide::GenerationCheck::RolledBack:
    m_Context.m_Metrics.countEvent("generation_went_back");
    logEvent(schema::WARN, "generation_went_back",
             {{"adopted", std::to_string(raw(m_Adoption.adopted()))},
              {"platform", std::to_string(StoredGeneration)}});
    break;
  case decide::GenerationCheck::NotNewer:
    break;
  }
}

asio::awaitable<void> ConfigWatch::fetchFromPeer(schema::PeerRecord Peer) {
  const auto PeerGeneration = static_cast<Generation>(Peer.generation());
  const bool IsNewer = m_Adoption.checkGeneration(PeerGeneration, false) ==
                       decide::GenerationCheck::Newer;
  if (!IsNewer || m_Fetching)
    co_return;
  m_Fetching = true;
  const std::string &Address = Peer.operators_address();
  const auto Row = co_await m_Peers.fetchGeneration(Address);
  bool Adopted = false;
  if (Row)
    Adopted = co_await fetchAndAdopt(*Row, Address);
  m_Context.m_Metrics.countEvent(Adopted ? "generation_from_peer"
                                         : "generation_fetch_failed");
  m_Fetching = false;
}

// Fetches all sections of a generation and adopts it; adopts nothing if a
// section is missing. Returns whether it was adopted.
asio::awaitable<bool> ConfigWatch::fetchAndAdopt(schema::GenerationRow Row,
                                                 std::string PeerAddress) {
  std::vector<std::string> Sections;
  for (const std::string &Hash : Row.sections()) {
    auto Content = co_await fetchSection(Hash, PeerAddress);
    if (!Content)
      co_return false;
    Sections.push_back(std::move(*Content));
  }
  const auto FetchedGeneration = static_cast<Generation>(Row.generation());
  if (m_Adoption.checkGeneration(FetchedGeneration, false) !=
      decide::GenerationCheck::Newer)
    co_return false;
  adopt(Row, store::joinSections(Sections));
  co_return true;
}

// Returns the section with this hash from the configuration in force, else from
// the peer, if one is given, else from the platform.
asio::awaitable<std::optional<std::string>>
ConfigWatch::fetchSection(std::string Hash, std::string PeerAddress) {
  if (const auto Config = m_Context.m_Config.get())
    for (std::string &Section : store::splitSections(Config->m_Declaration))
      if (store::sha256Hex(Section) == Hash)
        co_return std::move(Section);
  if (!PeerAddress.empty()) {
    std::string Content = co_await m_Peers.fetchSection(PeerAddress, Hash);
    if (store::sha256Hex(Content) == Hash)
      co_return Content;
  }
  try {
    co_return co_await m_Context.m_Objects.get(Hash);
  } catch (const store::StoreError &) {
    m_Context.m_Metrics.countEvent("section_missing");
  }
  co_return std::nullopt;
}

void ConfigWatch::adopt(const schema::GenerationRow &Row,
                        schema::Declaration Declaration) {
  auto Config = std::make_shared<ActiveConfig>();
  Config->m_Row = Row;
  Config->m_Declaration = std::move(Declaration);
  if (!m_Context.m_Config.adopt(Config))
    return;
  const auto NewGeneration = static_cast<Generation>(Row.generation());
  m_Adoption.onAdopted(NewGeneration);
  m_Context.m_Endpoints.withLock([&](decide::EndpointDirectory &Directory) {
    Directory.adopt(Config->m_Declaration);
  });
  m_Peers.send(m_Peers.withLock([&](decide::Membership &Members) {
    return Members.setGeneration(NewGeneration);
  }));
  m_Context.m_Metrics.setGauge("generation",
                               static_cast<double>(Row.generation()));
  logEvent(schema::INFO, "configuration_adopted",
           {{"generation", std::to_string(Row.generation())},
            {"author", Row.author()},
            {"reason", Row.reason()}});
}

asio::awaitable<void> ConfigWatch::pollDrains() {
  const auto Rows = co_await m_Context.m_Table.scan(store::DrainPrefix);
  std::vector<std::string> DrainedSubjects;
  for (const store::TableRow &StoredRow : Rows) {
    schema::DrainRow Drain;
    if (Drain.ParseFromString(StoredRow.m_Value) && Drain.draining())
      DrainedSubjects.push_back(Drain.subject());
  }
  m_Context.m_Endpoints.withLock([&](decide::EndpointDirectory &Directory) {
    Directory.replaceDrained(DrainedSubjects);
  });
}

asio::awaitable<void> ConfigWatch::pollHosts() {
  const auto Hosts = co_await m_Context.m_Objects.hosts();
  m_Context.m_Endpoints.withLock([&](decide::EndpointDirectory &Directory) {
    Directory.onHostList(Hosts);
  });
}

} // namespace mimosadale::router
