// The rows of one table as a router knows them, for other routers to read.
#ifndef MIMOSADALE_DECIDE_ROW_CACHE_H
#define MIMOSADALE_DECIDE_ROW_CACHE_H

#include "base/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::decide {

/// One row of a table, or the mark that it was dropped.
struct CachedRow {
  std::string m_Key;
  std::string m_Value;
  std::uint64_t m_Version = 0;
  bool m_Dropped = false;
};

/// Rows with the changes since they were read whole. Answers others only while
/// what it knows was confirmed a moment ago, so that a router which is cut off
/// from the store does not hold others back.
///
/// \par Thread safety
/// None.
class RowCache {
public:
  /// Takes a whole table, or changes of it, as of \p Version. Older ones than
  /// those known are dropped. \p Confirmed is when the store said so: of rows
  /// from another router, when that one had them from the store.
  /// \returns whether they were taken.
  bool take(const std::vector<CachedRow> &Rows, std::uint64_t Version,
            bool Whole, Instant Confirmed);

  /// Time since the store confirmed the rows. \pre Some were taken.
  Duration age(Instant Now) const { return Now - *m_ConfirmedAt; }

  /// Whether the store confirmed the present state after \p Now less the time
  /// for which it may be passed on.
  bool fresh(Instant Now) const;

  /// All rows; changes after \p After only if it is given. None when those
  /// changes are not known any more.
  std::optional<std::vector<CachedRow>>
  rows(std::optional<std::uint64_t> After) const;

  /// The version up to which the rows are known.
  std::uint64_t version() const { return m_Version; }

private:
  std::map<std::string, CachedRow> m_Rows;
  std::uint64_t m_Version = 0;
  std::uint64_t m_Oldest = 0; // version of the last whole read
  std::optional<Instant> m_ConfirmedAt;
};

/// Where a router reads a table.
enum class RowSource { Store, Peer };

/// Chooses the source. With many routers, one of each data centre reads the
/// store and the others read from it; a router whose source fails turns to the
/// other one.
///
/// \par Thread safety
/// None.
class RowSourceChooser {
public:
  /// \param LeastShared routers from which on they read from one another.
  explicit RowSourceChooser(std::size_t LeastShared)
      : m_LeastShared(LeastShared) {}

  /// \param Readers whether others read from this router, or it from another.
  void onRouters(std::size_t Routers, bool IsReader);

  /// Whether one router of each data centre reads for the others.
  bool shared() const { return m_Shared; }

  /// The source for the next call.
  RowSource next(Instant Now) const;

  /// Whether the store failed, so that any router may be asked.
  bool storeFails() const { return m_StoreFailures > 0; }

  /// How long a call may wait for a change: a reader that others depend on must
  /// notice soon that it is cut off.
  Duration wait(RowSource From) const;

  /// A call ended. \param HasPeers whether there is another router to ask.
  void onCall(RowSource From, bool Failed, bool HasPeers, Instant Now);

private:
  std::size_t m_LeastShared;
  bool m_Shared = false; // enough routers to read from one another
  bool m_Reader = false;
  std::optional<Instant> m_PeerFailedAt;
  unsigned m_StoreFailures = 0; // in a row
};

} // namespace mimosadale::decide

#endif
