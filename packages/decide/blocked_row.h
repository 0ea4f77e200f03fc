// The row of the platform's store in which blocked marks outlast all routers.
#ifndef MIMOSADALE_DECIDE_BLOCKED_ROW_H
#define MIMOSADALE_DECIDE_BLOCKED_ROW_H

#include "base/units.h"
#include "schema/generated/limits.pb.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace mimosadale::decide {

/// Decides when the row of blocked marks is read and written.
///
/// A change of what is blocked is written at once by the router that saw it.
/// The others compare the row later, in case that one ended before. While
/// something is blocked, the row is compared at long intervals, so that it
/// shows how recently requests with the marks came: a block ends in the row as
/// it does at routers. So does a store that comes back from an older copy.
///
/// \par Thread safety
/// None.
class BlockedRowSchedule {
public:
  /// The row was read, and written if need be; or not.
  void onCompared(bool Succeeded, Instant Now);

  /// What is blocked has changed. \param Delay until the row is compared: zero
  /// at the router that saw it.
  void onChanged(Duration Delay, Instant Now);

  /// The row is due for a comparison. \param BlocksAny tells whether anything
  /// is blocked; asked at long intervals only.
  bool isDue(const std::function<bool()> &BlocksAny, Instant Now) const;

private:
  std::optional<Instant> m_AskedAt; // the last time
  std::optional<Instant> m_ReadAt;  // the last time, successfully
  std::optional<Instant> m_DueAt;   // for a change
};

/// Brings the ages in \p Row up to \p StoreNowMs, on the store's clock, and
/// drops the marks whose block has ended by then.
void updateAges(schema::BlockedMarks &Row, std::uint64_t StoreNowMs);

/// Whether \p Stored has to be replaced by \p Known: it names other marks or
/// crashes, or requests with a mark came much later than it shows. \pre The
/// ages of both are of now.
bool isOutdated(const schema::BlockedMarks &Stored,
                const schema::BlockedMarks &Known);

} // namespace mimosadale::decide

#endif
