// Follows configuration and registry in the platform's store.
#ifndef MIMOSADALE_FORWARD_STORE_WATCH_H
#define MIMOSADALE_FORWARD_STORE_WATCH_H

#include "decide/row_cache.h"
#include "forward/forward_state.h"
#include "net/http.h"
#include "platform/own_rows_codec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace mimosadale::forward {

/// Keeps one feed open for each table, to the store, or to another router while
/// the store fails; reads a table anew when the changes since are forgotten.
/// Answers other routers from what it knows.
///
/// \par Thread safety
/// None; runs in the router's thread.
class StoreWatch {
public:
  /// \param OnConfig called after a newer configuration was adopted.
  StoreWatch(ForwardState &Shared, std::function<void()> OnConfig);

  /// Follows the operator's table until the router ends.
  boost::asio::awaitable<void> followConfig();

  /// Follows the registry until the router ends.
  boost::asio::awaitable<void> followRegistry();

  /// Registers this router, and follows how many there are, until the router
  /// ends: they share budgets.
  boost::asio::awaitable<void> followRouters();

  /// Asks another router now and then whether it knows of changes that this one
  /// does not, until the router ends: a feed that is silent, of the store or of
  /// the router that reads for this one, is not noticed for as long as it may
  /// wait.
  boost::asio::awaitable<void> compareWithOthers();

  /// Answers another router's question for rows.
  boost::asio::awaitable<net::HttpResponse> answer(platform::RowsQuery Query);

private:
  // What to do with rows, whole tables or changes.
  using Apply = std::function<void(const platform::RowBatch &, bool Whole,
                                   decide::RowSource From)>;

  // One table as it is followed.
  struct Table {
    std::string m_Name;
    bool m_FromRouters = false;        // may be read from another router
    std::function<Duration()> m_Pause; // between calls
    Apply m_Take;
    decide::RowCache m_Cache;
    decide::RowSourceChooser m_Source;
    bool m_HasReaders = false; // one router may read it for the others
    std::set<boost::asio::steady_timer *> m_Waiting; // for a change
  };

  boost::asio::awaitable<void> follow(Table &Of);
  boost::asio::awaitable<void> compare(Table &Of);
  void adopt(Table &Of, const platform::RowBatch &Got, bool Whole,
             decide::RowSource From);
  decide::RowCall nextCall(const Table &Of);
  void noteUnreadable(const Table &Of, const platform::RowBatch &Got);
  boost::asio::awaitable<platform::RowBatch>
  readOnce(Table &Of, decide::RowCall How, bool Whole);
  Duration pauseAfter(Table &Of, const decide::RowCall &How, bool Failed);
  std::string ownRow() const;
  boost::asio::awaitable<bool> registerSelf(std::string Value);
  std::optional<std::string> anyPeer();
  void wakeWaiting(Table &Of);
  void takeConfig(const platform::RowBatch &Changes, decide::RowSource From);
  void takeRegistry(const platform::RowBatch &Changes, bool Whole);
  void takeRouters(const platform::RowBatch &Changes, bool Whole);
  void noteStore(const std::string &Table, bool Reachable,
                 const std::string &Detail);

  ForwardState &m_Shared;
  std::function<void()> m_OnConfig;
  std::map<std::string, bool> m_Reachable; // by table
  Table m_Config;
  Table m_Registry;
  Table m_RouterRows;
};

} // namespace mimosadale::forward

#endif
