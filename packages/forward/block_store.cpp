#include "forward/block_store.h"

#include "forward/sleep.h"
#include "platform/names.h"
#include "router/log.h"

#include <algorithm>
#include <utility>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// Longest wait for the store, which also delays the readiness of a router: many
// times the latency of a call.
constexpr Duration CallTimeout = std::chrono::milliseconds(500);

constexpr Duration CheckInterval = std::chrono::milliseconds(20);

// Routers compare the row after a change elsewhere, or of the store's era, at
// different times within this time for each router.
constexpr Duration DelayPerRouter = std::chrono::milliseconds(25);
constexpr Duration MinDelay = std::chrono::seconds(1);

constexpr std::string_view Unreadable = "the row cannot be decoded";

} // namespace

BlockStore::BlockStore(ForwardState &State)
    : m_State(State),
      m_Store(m_State.m_Client,
              net::parseAddress(m_State.m_Settings.store().address()),
              std::min<Duration>(
                  CallTimeout, std::chrono::milliseconds(
                                   m_State.m_Settings.store().timeout_ms()))) {
  m_State.m_OnBlockChange = [this](ForwardState::SeenBy Router) {
    Duration Delay{};
    if (Router == ForwardState::SeenBy::Other)
      Delay = MinDelay +
              Duration(std::uniform_int_distribution<Duration::rep>(
                  0, (DelayPerRouter * static_cast<int>(m_State.m_RouterCount))
                         .count())(m_State.m_Random));
    m_Schedule.onChanged(Delay, ForwardState::now());
  };
}

asio::awaitable<void> BlockStore::run() {
  while (true) {
    const Instant Now = ForwardState::now();
    if (std::exchange(m_Era, m_State.m_StoreEra) != m_State.m_StoreEra &&
        m_State.m_Suspects.blocksAny())
      m_State.m_OnBlockChange(ForwardState::SeenBy::Other);
    if (m_Schedule.isDue([this] { return m_State.m_Suspects.blocksAny(); },
                         Now)) {
      const bool Succeeded = co_await compare();
      m_Schedule.onCompared(Succeeded, Now);
      m_State.m_BlocksAsked = true;
    }
    co_await sleepFor(m_State.m_Io, CheckInterval);
  }
}

schema::BlockedMarks BlockStore::readRow(const platform::RowBatch &Table,
                                         decide::StoreVersion &Version) const {
  schema::BlockedMarks Stored;
  for (const platform::Row &Row : Table.m_Rows) {
    if (Row.m_Key != platform::BlockedMarksKey)
      continue;
    Version = Row.m_Version;
    if (!Stored.ParseFromString(Row.m_Value)) {
      Stored.Clear();
      router::logEvent(schema::WARN, "row_unreadable",
                       {{"table", platform::BlockedMarksTable},
                        {"detail", std::string(Unreadable)}});
    }
  }
  decide::updateAges(Stored, Table.m_StoreTimeMs);
  return Stored;
}

schema::BlockedMarks BlockStore::known(Instant Now) const {
  schema::BlockedMarks Known;
  m_State.m_Suspects.addBlockedTo(Known, Now);
  return Known;
}

// Merges the row with what is known, and writes it if it lacks any of that.
// Another router that writes at the same time makes the write fail, and the row
// is compared again. \returns whether both agree now.
asio::awaitable<bool> BlockStore::compare() {
  decide::StoreVersion Version;
  schema::BlockedMarks Stored;
  schema::BlockedMarks Known;
  try {
    m_State.m_Metrics.countEvent("store_call");
    const platform::RowBatch Table =
        co_await m_Store.readTable(platform::BlockedMarksTable);
    const Instant Now = ForwardState::now();
    Stored = readRow(Table, Version);
    m_State.onMarksChanged(m_State.m_Suspects.merge(Stored, Now), "store",
                           ForwardState::SeenBy::Store);
    Known = known(Now);
    Known.set_store_ms(Table.m_StoreTimeMs);
  } catch (const Error &Ex) {
    router::logEvent(schema::WARN, "blocks_not_read", {{"detail", Ex.what()}});
    co_return false;
  }
  if (!decide::isOutdated(Stored, Known))
    co_return true;
  m_State.m_Metrics.countEvent("store_call");
  std::string Value = Known.SerializeAsString();
  const platform::WriteResult Result = co_await m_Store.write(
      platform::BlockedMarksTable, platform::BlockedMarksKey, std::move(Value),
      Version);
  const bool Applied = Result.m_Kind == platform::WriteResult::Kind::Applied;
  m_State.m_Metrics.countEvent(Applied ? "blocks_written"
                                       : "blocks_not_written");
  router::logEvent(schema::INFO,
                   Applied ? "blocks_written" : "blocks_not_written",
                   {{"marks", std::to_string(Known.marks_size())}});
  co_return Applied;
}

} // namespace mimosadale::forward
