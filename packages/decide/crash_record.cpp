#include "decide/crash_record.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace mimosadale::decide {

namespace {

// Crashes within this time count as one: a rack or a power supply that fails
// takes many endpoints at once.
constexpr Duration CommonCauseWindow = std::chrono::milliseconds(150);

} // namespace

std::size_t countSeparate(const CrashesByName &Crashes) {
  if (Crashes.size() <= 1)
    return Crashes.size();
  std::vector<const CrashRecord *> Ordered;
  Ordered.reserve(Crashes.size());
  for (const auto &[Name, Crash] : Crashes)
    Ordered.push_back(&Crash);
  std::sort(Ordered.begin(), Ordered.end(),
            [](const CrashRecord *A, const CrashRecord *B) {
              return A->m_At < B->m_At;
            });
  std::size_t Count = 0;
  std::optional<Instant> Last;
  for (const CrashRecord *Crash : Ordered) {
    if (Last && Crash->m_SentAt <= *Last &&
        Crash->m_At - *Last <= CommonCauseWindow)
      continue;
    ++Count;
    Last = Crash->m_At;
  }
  return Count;
}

} // namespace mimosadale::decide
