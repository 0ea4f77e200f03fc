// Which router of a data centre reads a table for the others.
#ifndef MIMOSADALE_DECIDE_READER_CHOOSER_H
#define MIMOSADALE_DECIDE_READER_CHOOSER_H

#include "base/units.h"
#include "decide/row_cache.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::decide {

/// One call for a table: where it goes, and how it is paced.
struct TableRead {
  RowSource m_Source = RowSource::Store;
  std::optional<std::string> m_Router; // to ask instead of the store
  Duration m_Wait{};                   // for a change
  Duration m_Interval{};               // after it, if it succeeds

  bool fromStore() const { return m_Source == RowSource::Store && !m_Router; }
  bool fromReader() const { return m_Source == RowSource::Store && m_Router; }
};

/// With many routers, one of each data centre reads the store and the others
/// read from it: the store is asked a few times for each change instead of once
/// by each router. A router whose reader fails takes the next one, and the
/// store itself after that. Nothing is agreed: a router that is taken for the
/// reader by mistake answers as long as its rows are confirmed, and refuses
/// after it.
///
/// \par Thread safety
/// None.
class ReaderChooser {
public:
  /// Takes the routers that there are. \param Here those of this data centre,
  /// with their parts of a processor: reading for dozens is left to the
  /// largest. \param All how many there are in all.
  void setRouters(const std::string &Self,
                  const std::map<std::string, double> &Here, std::size_t All);

  /// The router to read from; none when this one reads the store.
  std::optional<std::string> reader(Instant Now) const;

  /// Whether the others of the data centre read from this router.
  bool readsForOthers(Instant Now) const;

  /// The next call for a table that one may read for the others, where \p Own
  /// is the call of a router that reads for itself. A reader calls so often
  /// that its rows are confirmed at all times. Calls to any other router, since
  /// the store fails, are left as they are.
  TableRead planRead(TableRead Own, Instant Now) const;

  /// \p Reader gave no answer, or refused since its rows are not confirmed.
  void onFailed(const std::string &Reader, Instant Now);

private:
  // The first candidate that did not fail lately, this router included.
  std::optional<std::string> firstHealthy(Instant Now) const;

  std::string m_Self;
  std::vector<std::string> m_Candidates; // best first; empty with few routers
  std::map<std::string, Instant> m_FailedAt;
};

} // namespace mimosadale::decide

#endif
