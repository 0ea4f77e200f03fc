#include "forward/store_watch.h"

#include "decide/rendezvous.h"
#include "forward/sleep.h"
#include "platform/config_codec.h"
#include "platform/endpoint_codec.h"
#include "platform/names.h"
#include "router/log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// Time that the store's answer may take beyond the requested wait.
constexpr Duration StoreTimeoutMargin = std::chrono::seconds(1);

// Longest wait that is granted to another router.
constexpr Duration MaxPeerWait = std::chrono::seconds(1);

// Interval between calls of the configuration feed while it changes: shorter
// than the time within which a change must take effect, long enough to receive
// several changes at once.
constexpr Duration ConfigInterval = std::chrono::milliseconds(20);

// Interval between attempts to register this router, and between calls of the
// router table's feed.
constexpr Duration RegisterInterval = std::chrono::seconds(1);

// Interval between two reads of a table of a restored store, until it is known.
constexpr Duration RefreshInterval = std::chrono::milliseconds(250);

// Routers write their rows again within this time for each router: a tenth of
// the writes that the smallest store takes.
constexpr Duration RewriteDelayPerRouter = std::chrono::milliseconds(25);

// Returns the lease rank of \p Self among the routers.
std::size_t rankOf(const std::vector<std::string> &Names,
                   const std::string &Self) {
  const auto Ranked =
      decide::chooseMembers(Names, "orders", ForwardState::LeaseRanks);
  return static_cast<std::size_t>(
      std::find(Ranked.begin(), Ranked.end(), Self) - Ranked.begin());
}

} // namespace

StoreWatch::StoreWatch(ForwardState &State, std::function<void()> OnConfig)
    : m_State(State), m_OnConfig(std::move(OnConfig)) {
  m_ConfigTable.m_Name = platform::OperatorTable;
  m_ConfigTable.m_ServedByPeers = true;
  m_ConfigTable.m_HasReaders = true;
  m_ConfigTable.m_Source = decide::RowSourceChooser(decide::boundedFeedWait());
  m_ConfigTable.m_Interval = [] { return ConfigInterval; };
  m_ConfigTable.m_Apply = [this](const platform::RowBatch &Changes,
                                 RowsKind Kind, decide::RowSource Source) {
    applyConfig(Changes, Kind, Source);
  };
  m_RegistryTable.m_Name = platform::RegistryTable;
  m_RegistryTable.m_ServedByPeers = true;
  m_RegistryTable.m_HasReaders = true;
  m_RegistryTable.m_Source =
      decide::RowSourceChooser(decide::boundedFeedWait());
  m_RegistryTable.m_Interval = [this] { return m_State.registryInterval(); };
  m_RegistryTable.m_Apply = [this](const platform::RowBatch &Changes,
                                   RowsKind Kind, decide::RowSource) {
    applyRegistry(Changes, Kind);
  };
  m_RouterTable.m_Name = platform::RoutersTable;
  m_RouterTable.m_Interval = [] { return RegisterInterval; };
  m_RouterTable.m_Apply = [this](const platform::RowBatch &Changes,
                                 RowsKind Kind, decide::RowSource) {
    applyRouters(Changes, Kind);
  };
}

asio::awaitable<void> StoreWatch::followConfig() {
  co_await follow(m_ConfigTable);
}

asio::awaitable<void> StoreWatch::followRegistry() {
  co_await follow(m_RegistryTable);
}

asio::awaitable<void> StoreWatch::followRouters() {
  const std::string Row = encodeOwnRow();
  bool Registered = false;
  while (!Registered) {
    Registered = co_await registerSelf(Row);
    if (!Registered)
      co_await sleepFor(m_State.m_Io, RegisterInterval);
  }
  co_await follow(m_RouterTable);
}

std::string StoreWatch::encodeOwnRow() const {
  platform::RouterRecord Self;
  Self.m_PeerAddress = m_State.m_Settings.peers();
  Self.m_DataCentre = DataCentreId(m_State.m_Settings.data_centre());
  Self.m_Cores = m_State.m_Settings.cores();
  return platform::encodeRouter(Self);
}

// A row left over from before a restart is kept.
asio::awaitable<bool> StoreWatch::registerSelf(std::string Value) {
  const platform::WriteResult Result = co_await m_State.m_Store.write(
      platform::RoutersTable, m_State.m_Settings.name(), std::move(Value), {});
  const auto Kind = Result.m_Kind;
  co_return Kind == platform::WriteResult::Kind::Applied ||
      Kind == platform::WriteResult::Kind::Conflict;
}

// A restored table may lack this router's row. Routers write theirs again at
// different times, so that a large fleet does not press the store.
asio::awaitable<void> StoreWatch::registerAgain() {
  std::uniform_int_distribution<Duration::rep> Delay(
      0, (RewriteDelayPerRouter * static_cast<int>(m_State.m_RouterCount))
             .count());
  co_await sleepFor(m_State.m_Io, Duration(Delay(m_State.m_Random)));
  const std::string Row = encodeOwnRow();
  while (!co_await registerSelf(Row))
    co_await sleepFor(m_State.m_Io, RegisterInterval);
  m_State.m_Metrics.countEvent("rows_written_again");
}

// Rows of routers that are gone are kept: they only make the budget share of
// each remaining router smaller. So are those that a restored table lacks.
void StoreWatch::applyRouters(const platform::RowBatch &Changes,
                              RowsKind Kind) {
  if (Kind == RowsKind::Snapshot)
    m_State.m_RoutersByName.clear();
  if (Kind == RowsKind::RestoredSnapshot &&
      std::none_of(Changes.m_Rows.begin(), Changes.m_Rows.end(),
                   [this](const platform::Row &Row) {
                     return Row.m_Key == m_State.m_Settings.name();
                   }))
    asio::co_spawn(m_State.m_Io, registerAgain(), asio::detached);
  for (const platform::Row &Row : Changes.m_Rows) {
    m_State.m_RoutersByName.erase(Row.m_Key);
    if (Row.m_Deleted)
      continue;
    try {
      m_State.m_RoutersByName[Row.m_Key] = platform::decodeRouter(Row.m_Value);
    } catch (const Error &Ex) {
      router::logEvent(schema::WARN, "router_row_unreadable",
                       {{"router", Row.m_Key}, {"detail", Ex.what()}});
    }
  }
  const std::string &Self = m_State.m_Settings.name();
  m_State.m_RoutersByName[Self] = {
      m_State.m_Settings.peers(),
      DataCentreId(m_State.m_Settings.data_centre()),
      m_State.m_Settings.cores()};
  std::vector<std::string> All;
  std::map<std::string, double> LocalDataCentre;
  std::map<PeerId, DataCentreId> Others;
  for (const auto &[Name, Router] : m_State.m_RoutersByName) {
    All.push_back(Name);
    if (Name != Self)
      Others[PeerId(Name)] = Router.m_DataCentre;
    if (Router.m_DataCentre.str() == m_State.m_Settings.data_centre())
      LocalDataCentre[Name] = Router.m_Cores;
  }
  m_State.m_Readers.setRouters(Self, LocalDataCentre, All.size());
  m_State.m_PeerChooser.setRouters(Others);
  m_State.m_RouterCount = All.size();
  m_State.m_Limits.setRouters(All);
  m_State.m_RoutersRead = true;
  m_State.m_LeaseRank = rankOf(All, Self);
  m_State.m_Metrics.setGauge("routers", static_cast<double>(All.size()));
}

// Returns another router, drawn at random.
std::optional<std::string> StoreWatch::randomPeer() {
  std::vector<std::string> Others;
  for (const auto &[Name, Router] : m_State.m_RoutersByName)
    if (Name != m_State.m_Settings.name())
      Others.push_back(Name);
  if (Others.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Draw(0, Others.size() - 1);
  return Others[Draw(m_State.m_Random)];
}

decide::TableRead StoreWatch::nextCall(const FollowedTable &Table) {
  decide::TableRead Call;
  Call.m_Source = Table.m_Source.next();
  Call.m_Wait = Table.m_Source.wait();
  Call.m_Interval = Table.m_Interval();
  if (Call.m_Source == decide::RowSource::Peer)
    Call.m_Router = randomPeer();
  return Table.m_HasReaders
             ? m_State.m_Readers.planRead(Call, ForwardState::now())
             : Call;
}

// An unreadable row keeps its previous content.
void StoreWatch::logUnreadable(const FollowedTable &Table,
                               const platform::RowBatch &Rows) {
  for (const std::string &Detail : Rows.m_DecodeErrors) {
    m_State.m_Metrics.countEvent("row_unreadable");
    router::logEvent(schema::WARN, "row_unreadable",
                     {{"table", Table.m_Name}, {"detail", Detail}});
  }
}

asio::awaitable<platform::RowBatch> StoreWatch::readOnce(FollowedTable &Table,
                                                         decide::TableRead Call,
                                                         bool ReadSnapshot) {
  if (Call.fromStore()) {
    m_State.m_Metrics.countEvent("store_call");
    platform::FeedOptions Feed;
    Feed.m_Wait = Call.m_Wait;
    Feed.m_Slack = StoreTimeoutMargin;
    if (!ReadSnapshot && Table.m_Source.waitsLong())
      Feed.m_SetAbandon = [&Table](std::function<void()> Abandon) {
        Table.m_Abandon = std::move(Abandon);
      };
    co_return co_await readFrom(m_State.m_Store, Table, std::move(Feed),
                                ReadSnapshot);
  }
  const auto Router = Call.m_Router
                          ? m_State.m_RoutersByName.find(*Call.m_Router)
                          : m_State.m_RoutersByName.end();
  if (Router == m_State.m_RoutersByName.end())
    throw platform::StoreCallError("no other router to read the table from");
  m_State.m_Metrics.countEvent("router_asked");
  platform::StoreClient Peer(m_State.m_Client,
                             net::parseAddress(Router->second.m_PeerAddress),
                             PeerTimeout, platform::StoreServer::Router);
  platform::FeedOptions Feed;
  Feed.m_Wait = Call.m_Wait;
  Feed.m_Slack = PeerTimeout;
  co_return co_await readFrom(Peer, Table, std::move(Feed), ReadSnapshot);
}

asio::awaitable<platform::RowBatch>
StoreWatch::readFrom(platform::StoreClient &Server, FollowedTable &Table,
                     platform::FeedOptions Feed, bool ReadSnapshot) {
  const decide::StoreVersion After = Table.m_Cache.version();
  platform::RowBatch Rows;
  if (ReadSnapshot)
    Rows = co_await Server.readTable(Table.m_Name);
  else
    Rows = co_await Server.readChanges(Table.m_Name, After, std::move(Feed));
  onEra(Rows.m_Version.era());
  co_return Rows;
}

asio::awaitable<void> StoreWatch::follow(FollowedTable &Table) {
  // The version whose changes are not to be had, so that a snapshot is due.
  std::optional<decide::StoreVersion> Gap = Table.m_Cache.version();
  while (true) {
    const decide::TableRead Call = nextCall(Table);
    const decide::StoreVersion After = Table.m_Cache.version();
    // Another read may have brought a snapshot meanwhile.
    const bool ReadSnapshot = Gap == After;
    bool Failed = false;
    try {
      const platform::RowBatch Rows =
          co_await readOnce(Table, Call, ReadSnapshot);
      logUnreadable(Table, Rows);
      if (Call.fromStore())
        updateReachable(Table.m_Name, true, "");
      if (Rows.m_HistoryGone) {
        router::logEvent(schema::WARN, "store_history_gone",
                         {{"table", Table.m_Name}, {"after", After.text()}});
        Gap = After;
      } else if (accept(Table, Rows, After, ReadSnapshot,
                        Call.fromStore() ? decide::RowSource::Store
                                         : decide::RowSource::Peer)) {
        Gap.reset();
      } else if (After.era() < Rows.m_Version.era()) {
        Gap = After;
      }
    } catch (const Error &Ex) {
      if (Call.fromStore() && !Table.m_Abandoned) {
        updateReachable(Table.m_Name, false, Ex.what());
        abandonLongCalls(Table);
      }
      Failed = true;
    }
    Table.m_Abandon = nullptr;
    const bool Abandoned = std::exchange(Table.m_Abandoned, false);
    co_await sleepFor(m_State.m_Io, Abandoned
                                        ? Table.m_Source.onCallAbandoned()
                                        : intervalAfter(Table, Call, Failed));
  }
}

// A store that stopped answering has lost the calls that it had taken, and
// their connections show nothing of it.
void StoreWatch::abandonLongCalls(const FollowedTable &Failed) {
  for (FollowedTable *Table :
       {&m_ConfigTable, &m_RegistryTable, &m_RouterTable}) {
    if (Table == &Failed || !Table->m_Abandon || Table->m_Abandoned)
      continue;
    Table->m_Abandoned = true;
    m_State.m_Metrics.countEvent("store_call_abandoned");
    router::logEvent(
        schema::WARN, "store_call_abandoned",
        {{"table", Table->m_Name}, {"failed_table", Failed.m_Name}});
    Table->m_Abandon();
  }
}

// Changes are those after \p After: of another era they are not all that are
// missing. \returns whether the rows were merged.
bool StoreWatch::accept(FollowedTable &Table, const platform::RowBatch &Rows,
                        decide::StoreVersion After, bool IsSnapshot,
                        decide::RowSource Source) {
  if (!IsSnapshot && Rows.m_Version.era() != After.era())
    return false;
  const bool FromStore = Source == decide::RowSource::Store;
  const decide::MergeResult Merged = Table.m_Cache.merge(
      Rows.m_Rows, Rows.m_Version, IsSnapshot,
      FromStore ? std::optional(ForwardState::now()) : std::nullopt);
  if (Merged == decide::MergeResult::Rejected ||
      Merged == decide::MergeResult::NeedsSnapshot)
    return false;
  const bool Restored = Merged == decide::MergeResult::RestoredStore;
  if (Restored)
    router::logEvent(schema::WARN, "table_restored",
                     {{"table", Table.m_Name},
                      {"before", After.text()},
                      {"version", Rows.m_Version.text()},
                      {"rows", std::to_string(Rows.m_Rows.size())},
                      {"source", FromStore ? "store" : "another router"}});
  if (IsSnapshot || !Rows.m_Rows.empty()) {
    Table.m_Apply(Rows,
                  Restored     ? RowsKind::RestoredSnapshot
                  : IsSnapshot ? RowsKind::Snapshot
                               : RowsKind::Changes,
                  Source);
    wakeWaiters(Table);
  }
  return true;
}

// A later era ends the order of the versions known so far: each table is read
// anew at once, since its feed may wait for a number that is given out again
// only much later.
void StoreWatch::onEra(decide::StoreEra Era) {
  if (Era <= m_State.m_StoreEra)
    return;
  const std::string Before = std::to_string(raw(m_State.m_StoreEra));
  m_State.m_StoreEra = Era;
  m_State.m_Metrics.setGauge("store_era", static_cast<double>(raw(Era)));
  std::vector<FollowedTable *> Known;
  for (FollowedTable *Table :
       {&m_ConfigTable, &m_RegistryTable, &m_RouterTable})
    if (Table->m_Cache.loaded())
      Known.push_back(Table);
  if (Known.empty())
    return;
  m_State.m_Metrics.countEvent("store_restored");
  router::logEvent(schema::WARN, "store_restored",
                   {{"before", Before}, {"era", std::to_string(raw(Era))}});
  for (FollowedTable *Table : Known)
    if (!Table->m_Refreshing)
      asio::co_spawn(m_State.m_Io, refresh(*Table), asio::detached);
}

// Reads a table of a restored store until it is known. Routers with a reader
// leave that to it, and read from it by their feed.
asio::awaitable<void> StoreWatch::refresh(FollowedTable &Table) {
  Table.m_Refreshing = true;
  while (Table.m_Cache.version().era() < m_State.m_StoreEra) {
    decide::TableRead Call;
    const bool HasReader =
        Table.m_HasReaders && m_State.m_Readers.reader(ForwardState::now());
    try {
      if (!HasReader) {
        const platform::RowBatch Rows = co_await readOnce(Table, Call, true);
        logUnreadable(Table, Rows);
        accept(Table, Rows, Table.m_Cache.version(), true,
               decide::RowSource::Store);
      }
    } catch (const std::exception &Ex) {
      // Any exception: a table that is never read would stay old.
      updateReachable(Table.m_Name, false, Ex.what());
    }
    co_await sleepFor(m_State.m_Io, RefreshInterval);
  }
  Table.m_Refreshing = false;
}

asio::awaitable<void> StoreWatch::compareWithPeers() {
  while (true) {
    co_await sleepFor(m_State.m_Io, decide::compareInterval());
    for (FollowedTable *Followed : {&m_ConfigTable, &m_RegistryTable})
      if (Followed->m_Cache.loaded())
        co_await compare(*Followed);
  }
}

// Only rows are applied: a router without newer rows proves nothing. One that
// took its snapshot after this router's last change does not hold the changes
// in between, so its full table is read instead.
asio::awaitable<void> StoreWatch::compare(FollowedTable &Table) {
  const auto Peer = randomPeer();
  if (!Peer)
    co_return;
  decide::TableRead Call;
  Call.m_Router = *Peer;
  const decide::StoreVersion After = Table.m_Cache.version();
  try {
    platform::RowBatch Rows = co_await readOnce(Table, Call, false);
    const bool IsSnapshot = Rows.m_HistoryGone;
    if (IsSnapshot)
      Rows = co_await readOnce(Table, Call, true);
    if (Rows.m_HistoryGone || Rows.m_Rows.empty() ||
        !accept(Table, Rows, After, IsSnapshot, decide::RowSource::Peer))
      co_return;
    m_State.m_Metrics.countEvent("rows_by_comparison");
    router::logEvent(schema::INFO, "rows_by_comparison",
                     {{"table", Table.m_Name},
                      {"router", *Peer},
                      {"rows", std::to_string(Rows.m_Rows.size())},
                      {"whole", IsSnapshot ? "yes" : "no"},
                      {"version", Rows.m_Version.text()}});
  } catch (const Error &) {
    // Not retried: the next comparison follows soon, and this router's own
    // feeds detect failures.
    m_State.m_Metrics.countEvent("comparison_failed");
  }
}

// A reader that failed is replaced at once, since changes may be due that it
// did not pass on.
Duration StoreWatch::intervalAfter(FollowedTable &Table,
                                   const decide::TableRead &Call, bool Failed) {
  if (!Call.fromReader()) {
    const bool HasPeers =
        Table.m_ServedByPeers && m_State.m_RoutersByName.size() > 1;
    return Table.m_Source.onCallEnded(Failed, HasPeers, Call.m_Interval);
  }
  if (!Failed)
    return Call.m_Interval;
  m_State.m_Readers.onFailed(*Call.m_Router, ForwardState::now());
  m_State.m_Metrics.countEvent("reader_failed");
  router::logEvent(schema::WARN, "reader_failed",
                   {{"table", Table.m_Name}, {"router", *Call.m_Router}});
  return Duration{};
}

void StoreWatch::wakeWaiters(FollowedTable &Table) {
  for (asio::steady_timer *Timer : Table.m_Waiters)
    Timer->cancel();
}

asio::awaitable<net::HttpResponse>
StoreWatch::answer(platform::RowsQuery Query) {
  net::HttpResponse Refusal;
  Refusal.m_Status = 503;
  FollowedTable *Table = Query.m_Table == m_ConfigTable.m_Name ? &m_ConfigTable
                         : Query.m_Table == m_RegistryTable.m_Name
                             ? &m_RegistryTable
                             : nullptr;
  if (!Table || !Table->m_Cache.loaded())
    co_return Refusal;
  auto Rows = Table->m_Cache.rows(Query.m_After);
  if (Rows && Rows->empty() && Query.m_After) {
    asio::steady_timer Timer(m_State.m_Io, std::min(Query.m_Wait, MaxPeerWait));
    Table->m_Waiters.insert(&Timer);
    boost::system::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    Table->m_Waiters.erase(&Timer);
    Rows = Table->m_Cache.rows(Query.m_After);
  }
  std::vector<net::HttpHeader> Era =
      platform::encodeEra(Table->m_Cache.version().era());
  if (!Rows) {
    Refusal.m_Status = 410;
    Refusal.m_Headers = std::move(Era);
    co_return Refusal;
  }
  // "No change" is answered only if the store confirmed it a moment ago.
  if (Rows->empty() && Query.m_After &&
      !Table->m_Cache.confirmed(ForwardState::now()))
    co_return Refusal;
  platform::RowBatch Reply;
  Reply.m_Rows = std::move(*Rows);
  Reply.m_Version = Table->m_Cache.version();
  net::HttpResponse Answer;
  Answer.m_Headers = std::move(Era);
  Answer.m_Headers.push_back({"Content-Type", "application/json"});
  Answer.m_Body = platform::encodeRows(Reply);
  co_return Answer;
}

// Logs once when the store becomes unreachable and once when it is back.
void StoreWatch::updateReachable(const std::string &Table, bool Reachable,
                                 const std::string &Detail) {
  const auto [Entry, Inserted] = m_Reachable.try_emplace(Table, Reachable);
  if (!Inserted && Entry->second == Reachable)
    return;
  Entry->second = Reachable;
  router::logEvent(Reachable ? schema::INFO : schema::WARN,
                   Reachable ? "store_reached" : "store_lost",
                   {{"table", Table}, {"detail", Detail}});
}

void StoreWatch::applyConfig(const platform::RowBatch &Changes, RowsKind Kind,
                             decide::RowSource Source) {
  const bool FromStore = Source == decide::RowSource::Store;
  const decide::ConfigOrigin Origin = Kind == RowsKind::RestoredSnapshot
                                          ? decide::ConfigOrigin::RestoredCopy
                                          : decide::ConfigOrigin::Written;
  for (const platform::Row &Row : Changes.m_Rows) {
    if (Row.m_Key != platform::ConfigKey || Row.m_Deleted)
      continue;
    try {
      decide::RoutingConfig NewConfig = platform::decodeConfig(Row.m_Value);
      const std::uint64_t Version = NewConfig.m_Version;
      const decide::ConfigStep Step =
          m_State.m_Routes.offer(std::move(NewConfig), Row.m_Version, Origin);
      if (Step == decide::ConfigStep::NotNewer)
        continue;
      const std::vector<router::LogField> Fields{
          {"version", std::to_string(Version)},
          {"source", FromStore ? "store" : "another router"},
          {"row", Row.m_Version.text()}};
      if (Step == decide::ConfigStep::Adopted) {
        router::logEvent(schema::INFO, "config_adopted", Fields);
        m_OnConfig();
      } else if (Step == decide::ConfigStep::KeptOverCopy) {
        router::logEvent(schema::WARN, "config_kept_over_copy", Fields);
      } else {
        m_State.m_Metrics.countEvent("config_awaits_newer");
        router::logEvent(schema::WARN, "config_awaits_newer", Fields);
      }
    } catch (const Error &Ex) {
      m_State.m_Metrics.countEvent("config_unreadable");
      router::logEvent(schema::ERROR, "config_unreadable",
                       {{"row", Row.m_Version.text()}, {"detail", Ex.what()}});
    }
  }
}

void StoreWatch::applyRegistry(const platform::RowBatch &Changes,
                               RowsKind Kind) {
  std::vector<decide::EndpointRecord> Records;
  for (const platform::Row &Row : Changes.m_Rows) {
    if (Row.m_Deleted) {
      router::logEvent(
          schema::INFO, "endpoint_gone",
          {{"endpoint", Row.m_Key}, {"row", Row.m_Version.text()}});
      m_State.m_Fleet.remove(EndpointId(Row.m_Key), ForwardState::now());
      continue;
    }
    try {
      Records.push_back(platform::decodeRegistryEntry(Row.m_Key, Row.m_Value));
    } catch (const Error &Ex) {
      m_State.m_Metrics.countEvent("registry_entry_unreadable");
      router::logEvent(schema::WARN, "registry_entry_unreadable",
                       {{"endpoint", Row.m_Key},
                        {"row", Row.m_Version.text()},
                        {"detail", Ex.what()}});
      m_State.m_Fleet.remove(EndpointId(Row.m_Key), ForwardState::now());
    }
  }
  for (const decide::EndpointRecord &Record : Records) {
    const auto *Endpoint = m_State.m_Fleet.find(Record.m_Id);
    if (!Endpoint || Endpoint->m_Record.m_Leaving != Record.m_Leaving ||
        Endpoint->m_Record.m_Layers != Record.m_Layers)
      router::logEvent(
          schema::INFO, "endpoint_seen",
          {{"endpoint", Record.m_Id.str()},
           {"address", Record.m_Address},
           {"accelerator", Record.m_Accelerator},
           {"leaving", Record.m_Leaving ? "yes" : "no"},
           {"layers", std::to_string(Record.m_Layers.m_First) + "-" +
                          std::to_string(Record.m_Layers.m_End)}});
  }
  if (Kind == RowsKind::RestoredSnapshot)
    m_State.m_Fleet.restore(Records, ForwardState::now());
  else if (Kind == RowsKind::Snapshot)
    m_State.m_Fleet.replaceAll(Records, ForwardState::now());
  else
    for (const decide::EndpointRecord &Record : Records)
      m_State.m_Fleet.put(Record, ForwardState::now());
  m_State.m_RegistryRead = true;
}

} // namespace mimosadale::forward
