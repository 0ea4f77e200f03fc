// Which router of a data centre reads a table for the others.
#ifndef MIMOSADALE_DECIDE_READER_CHOOSER_H
#define MIMOSADALE_DECIDE_READER_CHOOSER_H

#include "base/units.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::decide {

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
  /// \p Self among them. \param All how many there are in all.
  void onRouters(const std::string &Self, const std::vector<std::string> &Here,
                 std::size_t All);

  /// The router to read from; none when this one reads the store.
  std::optional<std::string> reader(Instant Now) const;

  /// Whether the others of the data centre read from this router.
  bool readsForOthers(Instant Now) const;

  /// \p Reader gave no answer, or refused since its rows are not confirmed.
  void onFailed(const std::string &Reader, Instant Now);

private:
  // The first candidate that did not fail lately, this router included.
  std::optional<std::string> firstSound(Instant Now) const;

  std::string m_Self;
  std::vector<std::string> m_Candidates; // best first; empty with few routers
  std::map<std::string, Instant> m_FailedAt;
};

/// Longest wait of a reader's call to the store, and the pause after it: its
/// rows are then confirmed at all times for those that read from it. Safe from
/// any thread, like all below.
Duration readerWait();
Duration readerPause();

/// The same of those that read from it.
Duration followerWait();
Duration followerPause();

} // namespace mimosadale::decide

#endif
