#include "forward/store_watch.h"

#include "decide/rendezvous.h"
#include "platform/config_codec.h"
#include "platform/endpoint_codec.h"
#include "platform/names.h"
#include "router/log.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// How long one call of a feed waits for a change: below the store's limit of
// 30 s. That the connection still works is the keep-alive's matter.
constexpr Duration FeedWait = std::chrono::seconds(20);

// Pauses between calls of a feed while changes come: shorter than the time in
// which a change must be in force, long enough to take several at once.
constexpr Duration ConfigPause = std::chrono::milliseconds(20);
constexpr Duration RegistryPause = std::chrono::milliseconds(200);

// The registry's pause grows with the routers that all read it, up to half of
// the shortest time in which a leaving endpoint must get nothing more.
constexpr Duration RegistryPausePerRouter = std::chrono::milliseconds(15);
constexpr Duration LongestRegistryPause = std::chrono::milliseconds(1000);

// Pause after a call that failed, doubled with each further one up to the
// longest, so that a store that turns routers away is not pressed by them.
constexpr Duration FailurePause = std::chrono::milliseconds(250);
constexpr Duration LongestFailurePause = std::chrono::milliseconds(1000);

// Pause between tries to register this router, and between changes of the
// routers' table.
constexpr Duration RegisterPause = std::chrono::seconds(1);

asio::awaitable<void> pause(asio::io_context &Io, Duration Time) {
  asio::steady_timer Timer(Io, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

// The place of \p Self in the order in which routers take the lease for orders.
std::size_t rankOf(const std::set<std::string> &Names,
                   const std::string &Self) {
  const auto First = decide::chooseMembers(
      std::vector<std::string>(Names.begin(), Names.end()), "orders",
      ForwardState::OrderRanks);
  return static_cast<std::size_t>(std::find(First.begin(), First.end(), Self) -
                                  First.begin());
}

} // namespace

StoreWatch::StoreWatch(ForwardState &Shared, std::function<void()> OnConfig)
    : m_Shared(Shared), m_OnConfig(std::move(OnConfig)) {}

asio::awaitable<void> StoreWatch::followConfig() {
  Apply Take = [this](const platform::Rows &Changes, bool) {
    takeConfig(Changes);
  };
  Feed From{platform::OperatorTable, FeedWait, [] { return ConfigPause; }};
  co_await follow(std::move(From), std::move(Take));
}

asio::awaitable<void> StoreWatch::followRegistry() {
  Apply Take = [this](const platform::Rows &Changes, bool Whole) {
    takeRegistry(Changes, Whole);
  };
  Feed From{platform::RegistryTable, FeedWait, [this] {
              const Duration Grown =
                  RegistryPausePerRouter * static_cast<int>(m_Shared.m_Routers);
              return m_Shared.m_RoutersRead ? std::clamp(Grown, RegistryPause,
                                                         LongestRegistryPause)
                                            : RegistryPause;
            }};
  co_await follow(std::move(From), std::move(Take));
}

asio::awaitable<void> StoreWatch::followRouters() {
  while (!co_await registerSelf())
    co_await pause(m_Shared.m_Io, RegisterPause);
  Apply Take = [this](const platform::Rows &Changes, bool Whole) {
    takeRouters(Changes, Whole);
  };
  Feed From{platform::RoutersTable, FeedWait, [] { return RegisterPause; }};
  co_await follow(std::move(From), std::move(Take));
}

// A row that is there already, from before a restart, will do.
asio::awaitable<bool> StoreWatch::registerSelf() {
  const platform::WriteResult Result = co_await m_Shared.m_Store.write(
      platform::RoutersTable, m_Shared.m_Settings.name(),
      m_Shared.m_Settings.peers(), 0);
  co_return Result.m_Kind == platform::WriteResult::Kind::Done ||
      Result.m_Kind == platform::WriteResult::Kind::Conflict;
}

// Routers that are gone keep their rows: the parts of those that are there only
// get smaller by that.
void StoreWatch::takeRouters(const platform::Rows &Changes, bool Whole) {
  if (Whole)
    m_RouterNames.clear();
  for (const platform::Row &Each : Changes.m_Rows)
    if (Each.m_Dropped)
      m_RouterNames.erase(Each.m_Key);
    else
      m_RouterNames.insert(Each.m_Key);
  m_RouterNames.insert(m_Shared.m_Settings.name());
  m_Shared.m_Routers = m_RouterNames.size();
  m_Shared.m_RoutersRead = true;
  m_Shared.m_OrderRank = rankOf(m_RouterNames, m_Shared.m_Settings.name());
  m_Shared.m_Metrics.gauge("routers",
                           static_cast<double>(m_RouterNames.size()));
}

asio::awaitable<void> StoreWatch::follow(Feed From, Apply Take) {
  const std::string &Table = From.m_Table;
  bool Whole = true;
  std::uint64_t Version = 0;
  Duration Failure = FailurePause;
  while (true) {
    bool Failed = false;
    try {
      platform::Rows Got;
      if (Whole)
        Got = co_await m_Shared.m_Store.readTable(Table);
      else
        Got = co_await m_Shared.m_Store.feed(Table, Version, From.m_Wait);
      noteStore(Table, true, "");
      m_Shared.m_Metrics.counted("store_call");
      if (Got.m_HistoryGone) {
        router::logEvent(
            schema::WARN, "store_history_gone",
            {{"table", Table}, {"after", std::to_string(Version)}});
        Whole = true;
        continue;
      }
      Take(Got, Whole);
      Version = Got.m_Version;
      Whole = false;
    } catch (const Error &Wrong) {
      noteStore(Table, false, Wrong.what());
      Failed = true;
    }
    const Duration Next = Failed ? Failure : From.m_Pause();
    Failure =
        Failed ? std::min(2 * Failure, LongestFailurePause) : FailurePause;
    co_await pause(m_Shared.m_Io, Next);
  }
}

// One line when the store is lost and one when it is back.
void StoreWatch::noteStore(const std::string &Table, bool Reachable,
                           const std::string &Detail) {
  const auto [Known, Fresh] = m_Reachable.try_emplace(Table, Reachable);
  if (!Fresh && Known->second == Reachable)
    return;
  Known->second = Reachable;
  router::logEvent(Reachable ? schema::INFO : schema::WARN,
                   Reachable ? "store_reached" : "store_lost",
                   {{"table", Table}, {"detail", Detail}});
}

void StoreWatch::takeConfig(const platform::Rows &Changes) {
  for (const platform::Row &Each : Changes.m_Rows) {
    if (Each.m_Key != platform::ConfigKey || Each.m_Dropped)
      continue;
    try {
      decide::RoutingConfig Fresh = platform::decodeConfig(Each.m_Value);
      const std::uint64_t Version = Fresh.m_Version;
      if (!m_Shared.m_Routes.adopt(std::move(Fresh)))
        continue;
      router::logEvent(schema::INFO, "config_adopted",
                       {{"version", std::to_string(Version)},
                        {"source", "store"},
                        {"row", std::to_string(Each.m_Version)}});
      m_OnConfig();
    } catch (const Error &Wrong) {
      m_Shared.m_Metrics.counted("config_unreadable");
      router::logEvent(
          schema::ERROR, "config_unreadable",
          {{"row", std::to_string(Each.m_Version)}, {"detail", Wrong.what()}});
    }
  }
}

void StoreWatch::takeRegistry(const platform::Rows &Changes, bool Whole) {
  std::vector<decide::EndpointRecord> Records;
  for (const platform::Row &Each : Changes.m_Rows) {
    if (Each.m_Dropped) {
      router::logEvent(
          schema::INFO, "endpoint_gone",
          {{"endpoint", Each.m_Key}, {"row", std::to_string(Each.m_Version)}});
      m_Shared.m_Fleet.remove(EndpointId(Each.m_Key), ForwardState::now());
      continue;
    }
    try {
      Records.push_back(platform::decodeEntry(Each.m_Key, Each.m_Value));
    } catch (const Error &Wrong) {
      m_Shared.m_Metrics.counted("registry_entry_unreadable");
      router::logEvent(schema::WARN, "registry_entry_unreadable",
                       {{"endpoint", Each.m_Key},
                        {"row", std::to_string(Each.m_Version)},
                        {"detail", Wrong.what()}});
      m_Shared.m_Fleet.remove(EndpointId(Each.m_Key), ForwardState::now());
    }
  }
  for (const decide::EndpointRecord &Each : Records) {
    const auto *Known = m_Shared.m_Fleet.find(Each.m_Id);
    if (!Known || Known->m_Record.m_Leaving != Each.m_Leaving ||
        Known->m_Record.m_Layers != Each.m_Layers)
      router::logEvent(schema::INFO, "endpoint_seen",
                       {{"endpoint", Each.m_Id.str()},
                        {"address", Each.m_Address},
                        {"accelerator", Each.m_Accelerator},
                        {"leaving", Each.m_Leaving ? "yes" : "no"},
                        {"layers", std::to_string(Each.m_Layers.m_First) + "-" +
                                       std::to_string(Each.m_Layers.m_End)}});
  }
  if (Whole)
    m_Shared.m_Fleet.replaceAll(Records, ForwardState::now());
  else
    for (const decide::EndpointRecord &Each : Records)
      m_Shared.m_Fleet.put(Each, ForwardState::now());
  m_Shared.m_RegistryRead = true;
}

} // namespace mimosadale::forward
