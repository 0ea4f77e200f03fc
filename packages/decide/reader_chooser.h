// Chooses the router of a data centre that reads the store for the others.
#ifndef MIMOSADALE_DECIDE_READER_CHOOSER_H
#define MIMOSADALE_DECIDE_READER_CHOOSER_H

#include "base/units.h"
#include "decide/row_cache.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::decide {

/// One read of a table: its target and its timing.
struct TableRead {
  RowSource m_Source = RowSource::Store;
  std::optional<std::string> m_Router; // to read from instead of the store
  Duration m_Wait{};                   // long-poll timeout for a change
  Duration m_Interval{};               // to the next read, if this one succeeds

  bool fromStore() const { return m_Source == RowSource::Store && !m_Router; }
  bool fromReader() const { return m_Source == RowSource::Store && m_Router; }
};

/// With many routers, one of each data centre reads the store and the others
/// read from it, so that the store serves a few reads per change instead of one
/// per router. A router whose reader fails uses the next candidate, and after
/// that the store itself. Routers may disagree on the reader: a router that is
/// asked although it is not the reader serves its rows as long as they are
/// confirmed, then refuses.
///
/// \par Thread safety
/// None.
class ReaderChooser {
public:
  /// Sets the known routers. \param Cores the routers of this data centre with
  /// their processor cores, fractions included: only the largest become
  /// readers, since a reader may serve dozens. \param Total number of routers
  /// in all data centres.
  void setRouters(const std::string &Self,
                  const std::map<std::string, double> &Cores,
                  std::size_t Total);

  /// The router to read from; none if this one reads the store.
  std::optional<std::string> reader(Instant Now) const;

  /// Whether the other routers of the data centre read from this one.
  bool readsForOthers(Instant Now) const;

  /// The next read of a table that readers serve. \p Direct is the read of a
  /// router that reads for itself. A reader reads often enough for its rows to
  /// stay confirmed. Reads from a peer because the store fails are not changed.
  TableRead planRead(TableRead Direct, Instant Now) const;

  /// \p Reader did not answer, or refused since its rows are not confirmed.
  void onFailed(const std::string &Reader, Instant Now);

private:
  // The first candidate that has not failed recently; may be this router.
  std::optional<std::string> firstHealthy(Instant Now) const;

  std::string m_Self;
  // In order of preference; empty with few routers.
  std::vector<std::string> m_Candidates;
  std::map<std::string, Instant> m_FailedAt;
};

} // namespace mimosadale::decide

#endif
