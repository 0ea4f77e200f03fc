#include "forward/store_watch.h"

#include "decide/rendezvous.h"
#include "forward/pause.h"
#include "platform/config_codec.h"
#include "platform/endpoint_codec.h"
#include "platform/names.h"
#include "router/log.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// Time beyond its wait that an answer of the store may take.
constexpr Duration StoreSlack = std::chrono::seconds(1);

// Longest wait that another router is granted.
constexpr Duration LongestPeerWait = std::chrono::seconds(1);

// Pause between calls of the configuration's feed while changes come: shorter
// than the time in which a change must be in force, long enough to take several
// at once.
constexpr Duration ConfigPause = std::chrono::milliseconds(20);

// Pause between tries to register this router, and between changes of the
// routers' table.
constexpr Duration RegisterPause = std::chrono::seconds(1);

// The place of \p Self in the order in which routers take the lease for orders.
std::size_t rankOf(const std::vector<std::string> &Names,
                   const std::string &Self) {
  const auto First =
      decide::chooseMembers(Names, "orders", ForwardState::OrderRanks);
  return static_cast<std::size_t>(std::find(First.begin(), First.end(), Self) -
                                  First.begin());
}

} // namespace

StoreWatch::StoreWatch(ForwardState &Shared, std::function<void()> OnConfig)
    : m_Shared(Shared), m_OnConfig(std::move(OnConfig)) {
  m_Config.m_Name = platform::OperatorTable;
  m_Config.m_FromRouters = true;
  m_Config.m_HasReaders = true;
  m_Config.m_Pause = [] { return ConfigPause; };
  m_Config.m_Take = [this](const platform::RowBatch &Changes, bool,
                           decide::RowSource From) {
    takeConfig(Changes, From);
  };
  m_Registry.m_Name = platform::RegistryTable;
  m_Registry.m_FromRouters = true;
  m_Registry.m_HasReaders = true;
  m_Registry.m_Pause = [this] { return m_Shared.registryPause(); };
  m_Registry.m_Take = [this](const platform::RowBatch &Changes, bool Whole,
                             decide::RowSource) {
    takeRegistry(Changes, Whole);
  };
  m_RouterRows.m_Name = platform::RoutersTable;
  m_RouterRows.m_Pause = [] { return RegisterPause; };
  m_RouterRows.m_Take = [this](const platform::RowBatch &Changes, bool Whole,
                               decide::RowSource) {
    takeRouters(Changes, Whole);
  };
}

asio::awaitable<void> StoreWatch::followConfig() { co_await follow(m_Config); }

asio::awaitable<void> StoreWatch::followRegistry() {
  co_await follow(m_Registry);
}

asio::awaitable<void> StoreWatch::followRouters() {
  const std::string Row = ownRow();
  bool Registered = false;
  while (!Registered) {
    Registered = co_await registerSelf(Row);
    if (!Registered)
      co_await pauseFor(m_Shared.m_Io, RegisterPause);
  }
  co_await follow(m_RouterRows);
}

std::string StoreWatch::ownRow() const {
  platform::RouterRecord Self;
  Self.m_PeerAddress = m_Shared.m_Settings.peers();
  Self.m_DataCentre = DataCentreId(m_Shared.m_Settings.data_centre());
  Self.m_Cores = m_Shared.m_Settings.cores();
  return platform::encodeRouter(Self);
}

// A row that is there already, from before a restart, will do.
asio::awaitable<bool> StoreWatch::registerSelf(std::string Value) {
  const platform::WriteResult Result = co_await m_Shared.m_Store.write(
      platform::RoutersTable, m_Shared.m_Settings.name(), std::move(Value), 0);
  const auto Kind = Result.m_Kind;
  co_return Kind == platform::WriteResult::Kind::Applied ||
      Kind == platform::WriteResult::Kind::Conflict;
}

// Routers that are gone keep their rows: the parts of those that are there only
// get smaller by that.
void StoreWatch::takeRouters(const platform::RowBatch &Changes, bool Whole) {
  if (Whole)
    m_Shared.m_RouterPlaces.clear();
  for (const platform::Row &Each : Changes.m_Rows) {
    m_Shared.m_RouterPlaces.erase(Each.m_Key);
    if (Each.m_Dropped)
      continue;
    try {
      m_Shared.m_RouterPlaces[Each.m_Key] =
          platform::decodeRouter(Each.m_Value);
    } catch (const Error &Wrong) {
      router::logEvent(schema::WARN, "router_row_unreadable",
                       {{"router", Each.m_Key}, {"detail", Wrong.what()}});
    }
  }
  const std::string &Self = m_Shared.m_Settings.name();
  m_Shared.m_RouterPlaces[Self] = {
      m_Shared.m_Settings.peers(),
      DataCentreId(m_Shared.m_Settings.data_centre()),
      m_Shared.m_Settings.cores()};
  std::vector<std::string> All;
  std::map<std::string, double> Here;
  for (const auto &[Name, Place] : m_Shared.m_RouterPlaces) {
    All.push_back(Name);
    if (Place.m_DataCentre.str() == m_Shared.m_Settings.data_centre())
      Here[Name] = Place.m_Cores;
  }
  m_Shared.m_Readers.onRouters(Self, Here, All.size());
  m_Shared.m_Routers = All.size();
  m_Shared.m_RoutersRead = true;
  m_Shared.m_OrderRank = rankOf(All, Self);
  m_Shared.m_Metrics.gauge("routers", static_cast<double>(All.size()));
}

// Another router, drawn by chance.
std::optional<std::string> StoreWatch::anyPeer() {
  std::vector<std::string> Others;
  for (const auto &[Name, Place] : m_Shared.m_RouterPlaces)
    if (Name != m_Shared.m_Settings.name())
      Others.push_back(Name);
  if (Others.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Draw(0, Others.size() - 1);
  return Others[Draw(m_Shared.m_Random)];
}

decide::RowCall StoreWatch::nextCall(const Table &Of) {
  decide::RowCall Own;
  Own.m_Source = Of.m_Source.next();
  Own.m_Wait = Of.m_Source.wait();
  Own.m_Pause = Of.m_Pause();
  if (Own.m_Source == decide::RowSource::Peer)
    Own.m_Router = anyPeer();
  return Of.m_HasReaders ? m_Shared.m_Readers.planCall(Own, ForwardState::now())
                         : Own;
}

// A row that cannot be read is left as it was known before.
void StoreWatch::noteUnreadable(const Table &Of,
                                const platform::RowBatch &Got) {
  for (const std::string &Each : Got.m_DecodeErrors) {
    m_Shared.m_Metrics.counted("row_unreadable");
    router::logEvent(schema::WARN, "row_unreadable",
                     {{"table", Of.m_Name}, {"detail", Each}});
  }
}

asio::awaitable<platform::RowBatch>
StoreWatch::readOnce(Table &Of, decide::RowCall How, bool Whole) {
  const std::uint64_t After = Of.m_Cache.version();
  if (How.fromStore()) {
    m_Shared.m_Metrics.counted("store_call");
    if (Whole)
      co_return co_await m_Shared.m_Store.readTable(Of.m_Name);
    co_return co_await m_Shared.m_Store.readChanges(Of.m_Name, After,
                                                    How.m_Wait, StoreSlack);
  }
  const auto Place = How.m_Router ? m_Shared.m_RouterPlaces.find(*How.m_Router)
                                  : m_Shared.m_RouterPlaces.end();
  if (Place == m_Shared.m_RouterPlaces.end())
    throw platform::StoreCallError("no other router is known");
  m_Shared.m_Metrics.counted("router_asked");
  platform::StoreClient Other(m_Shared.m_Client,
                              net::parseAddress(Place->second.m_PeerAddress),
                              RouterAnswerTime);
  if (Whole)
    co_return co_await Other.readTable(Of.m_Name);
  co_return co_await Other.readChanges(Of.m_Name, After, How.m_Wait,
                                       RouterAnswerTime);
}

asio::awaitable<void> StoreWatch::follow(Table &Of) {
  bool Whole = true;
  while (true) {
    const decide::RowCall How = nextCall(Of);
    bool Failed = false;
    try {
      const platform::RowBatch Got = co_await readOnce(Of, How, Whole);
      noteUnreadable(Of, Got);
      std::optional<Instant> Store;
      if (How.fromStore()) {
        noteStore(Of.m_Name, true, "");
        Store = ForwardState::now();
      }
      if (Got.m_HistoryGone) {
        router::logEvent(schema::WARN, "store_history_gone",
                         {{"table", Of.m_Name},
                          {"after", std::to_string(Of.m_Cache.version())}});
        Whole = true;
      } else if (Of.m_Cache.take(Got.m_Rows, Got.m_Version, Whole, Store)) {
        if (Whole || !Got.m_Rows.empty())
          adopt(Of, Got, Whole,
                How.fromStore() ? decide::RowSource::Store
                                : decide::RowSource::Peer);
        Whole = false;
      }
    } catch (const Error &Wrong) {
      if (How.fromStore())
        noteStore(Of.m_Name, false, Wrong.what());
      Failed = true;
    }
    co_await pauseFor(m_Shared.m_Io, pauseAfter(Of, How, Failed));
  }
}

void StoreWatch::adopt(Table &Of, const platform::RowBatch &Got, bool Whole,
                       decide::RowSource From) {
  Of.m_Take(Got, Whole, From);
  wakeWaiting(Of);
}

asio::awaitable<void> StoreWatch::compareWithOthers() {
  while (true) {
    co_await pauseFor(m_Shared.m_Io, decide::comparePause());
    for (Table *Each : {&m_Config, &m_Registry})
      if (Each->m_Cache.known())
        co_await compare(*Each);
  }
}

// What another router does not know of says nothing: only rows are taken. One
// that read its table after this one's last change does not know what changed
// between: its whole table tells.
asio::awaitable<void> StoreWatch::compare(Table &Of) {
  const auto Other = anyPeer();
  if (!Other)
    co_return;
  decide::RowCall How;
  How.m_Router = *Other;
  try {
    platform::RowBatch Got = co_await readOnce(Of, How, false);
    const bool Whole = Got.m_HistoryGone;
    if (Whole)
      Got = co_await readOnce(Of, How, true);
    if (Got.m_HistoryGone || Got.m_Rows.empty() ||
        !Of.m_Cache.take(Got.m_Rows, Got.m_Version, Whole))
      co_return;
    m_Shared.m_Metrics.counted("rows_by_comparison");
    router::logEvent(schema::INFO, "rows_by_comparison",
                     {{"table", Of.m_Name},
                      {"router", *Other},
                      {"rows", std::to_string(Got.m_Rows.size())},
                      {"whole", Whole ? "yes" : "no"},
                      {"version", std::to_string(Got.m_Version)}});
    adopt(Of, Got, Whole, decide::RowSource::Peer);
  } catch (const Error &) {
    // The next one is asked in a moment; its own feeds tell when it fails.
    m_Shared.m_Metrics.counted("comparison_failed");
  }
}

// A reader that failed is passed over at once: what it did not tell may be due.
Duration StoreWatch::pauseAfter(Table &Of, const decide::RowCall &How,
                                bool Failed) {
  if (!How.fromReader()) {
    const bool HasPeers =
        Of.m_FromRouters && m_Shared.m_RouterPlaces.size() > 1;
    return Of.m_Source.onCall(Failed, HasPeers, How.m_Pause);
  }
  if (!Failed)
    return How.m_Pause;
  m_Shared.m_Readers.onFailed(*How.m_Router, ForwardState::now());
  m_Shared.m_Metrics.counted("reader_failed");
  router::logEvent(schema::WARN, "reader_failed",
                   {{"table", Of.m_Name}, {"router", *How.m_Router}});
  return Duration{};
}

void StoreWatch::wakeWaiting(Table &Of) {
  for (asio::steady_timer *Each : Of.m_Waiting)
    Each->cancel();
}

asio::awaitable<net::HttpResponse>
StoreWatch::answer(platform::RowsQuery Query) {
  net::HttpResponse Refused;
  Refused.m_Status = 503;
  Table *Of = Query.m_Table == m_Config.m_Name     ? &m_Config
              : Query.m_Table == m_Registry.m_Name ? &m_Registry
                                                   : nullptr;
  if (!Of || !Of->m_Cache.known())
    co_return Refused;
  auto Found = Of->m_Cache.rows(Query.m_After);
  if (Found && Found->empty() && Query.m_After) {
    asio::steady_timer Timer(m_Shared.m_Io,
                             std::min(Query.m_Wait, LongestPeerWait));
    Of->m_Waiting.insert(&Timer);
    boost::system::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    Of->m_Waiting.erase(&Timer);
    Found = Of->m_Cache.rows(Query.m_After);
  }
  if (!Found) {
    Refused.m_Status = 410;
    co_return Refused;
  }
  // That nothing changed is said only if the store said so a moment ago.
  if (Found->empty() && Query.m_After &&
      !Of->m_Cache.confirmed(ForwardState::now()))
    co_return Refused;
  platform::RowBatch Rows;
  Rows.m_Rows = std::move(*Found);
  Rows.m_Version = Of->m_Cache.version();
  net::HttpResponse Answer;
  Answer.m_Headers.push_back({"Content-Type", "application/json"});
  Answer.m_Body = platform::encodeRows(Rows);
  co_return Answer;
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

void StoreWatch::takeConfig(const platform::RowBatch &Changes,
                            decide::RowSource From) {
  const bool Store = From == decide::RowSource::Store;
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
                        {"source", Store ? "store" : "another router"},
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

void StoreWatch::takeRegistry(const platform::RowBatch &Changes, bool Whole) {
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
      Records.push_back(
          platform::decodeRegistryEntry(Each.m_Key, Each.m_Value));
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
