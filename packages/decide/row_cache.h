// Tables passed on between routers, and where each router reads them.
#ifndef MIMOSADALE_DECIDE_ROW_CACHE_H
#define MIMOSADALE_DECIDE_ROW_CACHE_H

#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::decide {

/// One row of a table.
struct CachedRow {
  std::string m_Key;
  std::string m_Value;
  std::uint64_t m_Version = 0;
  bool m_Deleted = false; // of a feed: the row is gone
};

/// The rows of one table as this router knows them, for other routers.
///
/// \par Thread safety
/// None.
class RowCache {
public:
  /// Takes a whole table, or changes of it, as of \p Version. Older ones than
  /// those known are dropped, so that rows never go back, by whatever way they
  /// come. \param Store when the store itself gave this answer; none for
  /// another router's. Only an answer that is taken confirms the rows: a store
  /// that lost its history may answer with a table of seconds ago.
  /// \returns whether they were taken.
  bool merge(const std::vector<CachedRow> &Rows, std::uint64_t Version,
             bool Whole, std::optional<Instant> Store = std::nullopt);

  /// Whether a whole table was taken.
  bool loaded() const { return m_Loaded; }

  /// Whether the store answered a moment ago that these rows are up to date, so
  /// that others may take it from here that nothing changed.
  bool confirmed(Instant Now) const;

  /// All rows; changes after \p After only if it is given. None when those
  /// changes are not known any more.
  std::optional<std::vector<CachedRow>>
  rows(std::optional<std::uint64_t> After) const;

  /// The version up to which the rows are known.
  std::uint64_t version() const { return m_Version; }

private:
  std::map<std::string, CachedRow> m_Rows;
  std::uint64_t m_Version = 0;
  std::uint64_t m_SnapshotVersion = 0; // version of the last whole read
  bool m_Loaded = false;
  std::optional<Instant> m_ConfirmedAt;
};

/// The pause between two reads of the registry while it changes: the more
/// routers read it, the longer. Safe from any thread.
Duration registryInterval(std::size_t Routers);

/// The pause between two questions to another router whether it knows of
/// changes that this one does not. Safe from any thread.
Duration compareInterval();

/// Where a router reads a table.
enum class RowSource { Store, Peer };

/// Chooses where the next call goes. A router reads the store; one that the
/// store fails asks other routers in turn with it, until the store answers.
///
/// \par Thread safety
/// None.
class RowSourceChooser {
public:
  /// The source for the next call.
  RowSource next() const;

  /// How long that call may wait for a change.
  Duration wait() const;

  /// The call to `next()` ended. \param HasPeers whether there is another
  /// router to ask. \param Usual the pause between calls that succeed.
  /// \returns the pause before the next call.
  Duration onCallEnded(bool Failed, bool HasPeers, Duration Usual);

private:
  unsigned m_StoreFailures = 0; // in a row
  bool m_UsePeer = false;
  Duration m_Backoff{};
};

} // namespace mimosadale::decide

#endif
