// Crashes of endpoints, as they speak against marks of requests.
#ifndef MIMOSADALE_DECIDE_CRASH_RECORD_H
#define MIMOSADALE_DECIDE_CRASH_RECORD_H

#include "base/units.h"

#include <cstddef>
#include <map>
#include <string>

namespace mimosadale::decide {

struct CrashRecord {
  Instant m_SentAt{}; // when the request was sent there
  Instant m_At{};
  // Requests there whose answers had not begun, and such whose answers had. The
  // latter are most that ordinary crashes meet, so that they say less, but an
  // answer that begins does not disprove them.
  bool m_BeforeAnswer = true;
  bool m_DuringAnswer = false;
  // The mark was the only part without an answer of a request there.
  bool m_Alone = false;
};

/// By endpoint and its start: the same at all routers.
using CrashesByName = std::map<std::string, CrashRecord>;

/// The number of crashes at different times. Those of one cause, such as a rack
/// that fails, count once. A request that was sent after a crash reached an
/// endpoint that this cause had spared. Safe from any thread.
std::size_t countSeparate(const CrashesByName &Crashes);

} // namespace mimosadale::decide

#endif
