// Cache of a table for other routers, and the choice of the source to read
// from.
#ifndef MIMOSADALE_DECIDE_ROW_CACHE_H
#define MIMOSADALE_DECIDE_ROW_CACHE_H

#include "base/units.h"
#include "decide/store_version.h"

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
  StoreVersion m_Version;
  bool m_Deleted = false; // tombstone in the feed of changes
};

/// What became of an answer with rows.
enum class MergeResult {
  Rejected,      // older than what is known
  Merged,        // the first snapshot, or the same era
  RestoredStore, // a snapshot of a later era than the rows known so far
  NeedsSnapshot  // changes of a later era, which apply to rows not known
};

/// The rows of one table as known to this router, served to other routers.
///
/// \par Thread safety
/// None.
class RowCache {
public:
  /// Merges a snapshot of the table, or changes, as of \p Version. An answer
  /// older than the cached version is rejected, whatever its source, so that
  /// rows never revert to older ones. The snapshot of a later era replaces all
  /// rows, also by older ones: the store was restored from a copy.
  /// \param StoreReadAt when the store was read, if the answer came from the
  /// store; none if it came from another router. Only an accepted answer
  /// confirms the rows, since a store that lost its history may answer with a
  /// table that is seconds old.
  MergeResult merge(const std::vector<CachedRow> &Rows, StoreVersion Version,
                    bool Snapshot,
                    std::optional<Instant> StoreReadAt = std::nullopt);

  /// Whether a snapshot was merged.
  bool loaded() const { return m_Loaded; }

  /// Whether the store answered recently that these rows are up to date, so
  /// that this router may tell others that nothing has changed.
  bool confirmed(Instant Now) const;

  /// All rows that are not deleted or, if \p After is given, all changes after
  /// that version, deletions included; none if it precedes the last snapshot or
  /// is of another era, since the changes in between are not known.
  std::optional<std::vector<CachedRow>>
  rows(std::optional<StoreVersion> After) const;

  /// The version of the table that the rows correspond to.
  StoreVersion version() const { return m_Version; }

private:
  std::map<std::string, CachedRow> m_Rows;
  StoreVersion m_Version;
  StoreVersion m_SnapshotVersion;
  bool m_Loaded = false;
  std::optional<Instant> m_ConfirmedAt;
};

/// Interval between two reads of the registry while it changes; grows with the
/// number of routers that read it. Safe from any thread.
Duration registryInterval(std::size_t Routers);

/// Interval between two comparisons with another router, which may know changes
/// that this one does not. Safe from any thread.
Duration compareInterval();

/// Where a router reads a table from.
enum class RowSource { Store, Peer };

/// Longest long-poll timeout of the feed of a table whose changes must take
/// effect within seconds. Safe from any thread.
Duration boundedFeedWait();

/// Chooses the source of each read. A router reads the store; while the store
/// fails, it alternates between other routers and the store.
///
/// \par Thread safety
/// None.
class RowSourceChooser {
public:
  /// Reads a table whose changes have no time to take effect in.
  RowSourceChooser() = default;

  /// \param MaxWait the longest long-poll timeout of calls to the store.
  explicit RowSourceChooser(Duration MaxWait) : m_MaxWait(MaxWait) {}

  /// The source of the next call.
  RowSource next() const;

  /// The long-poll timeout of the next call.
  Duration wait() const;

  /// The call to `next()` ended. \param HasPeers whether there is another
  /// router to read from. \param Interval the time to the next call after a
  /// success. \returns the time to the next call.
  Duration onCallEnded(bool Failed, bool HasPeers, Duration Interval);

  /// Whether a call to the store that is in progress may go on for long after
  /// the store stopped answering, so that it is abandoned once another call got
  /// no answer.
  bool waitsLong() const;

  /// The call to `next()` was abandoned; the store may have lost it. \returns
  /// the time to the next call, which waits briefly.
  Duration onCallAbandoned();

private:
  std::optional<Duration> m_MaxWait;
  unsigned m_StoreFailures = 0; // consecutive
  bool m_UsePeer = false;
  Duration m_Backoff{};
};

} // namespace mimosadale::decide

#endif
