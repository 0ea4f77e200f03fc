#include "decide/blocked_row.h"

#include "decide/crash_suspects.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace mimosadale::decide {

namespace {

// Interval between two attempts while the store does not answer, and between
// two comparisons while something is blocked: a fraction of the time for which
// a block lasts.
constexpr Duration RetryInterval = std::chrono::seconds(1);
constexpr Duration CompareInterval = std::chrono::minutes(2);

std::uint32_t addMs(std::uint32_t AgeMs, std::uint64_t Ms) {
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(
      AgeMs + Ms, std::numeric_limits<std::uint32_t>::max()));
}

std::chrono::milliseconds seenAge(const schema::CrashMark &Mark) {
  return std::chrono::milliseconds(Mark.seen_age_ms());
}

// What routers judge by, without ages.
using Statement = std::pair<std::pair<bool, bool>,
                            std::set<std::tuple<std::string, bool, bool>>>;

Statement statementOf(const schema::CrashMark &Mark) {
  Statement Of{{Mark.cleared(), Mark.answered()}, {}};
  for (const schema::EndpointCrash &Crash : Mark.crashes())
    Of.second.emplace(Crash.endpoint_start(), Crash.disproved(), Crash.begun());
  return Of;
}

} // namespace

void BlockedRowSchedule::onCompared(bool Succeeded, Instant Now) {
  m_AskedAt = Now;
  if (!Succeeded)
    return;
  m_ReadAt = Now;
  if (m_DueAt && *m_DueAt <= Now)
    m_DueAt.reset();
}

void BlockedRowSchedule::onChanged(Duration Delay, Instant Now) {
  m_DueAt = std::min(m_DueAt.value_or(Now + Delay), Now + Delay);
}

bool BlockedRowSchedule::isDue(const std::function<bool()> &BlocksAny,
                               Instant Now) const {
  if (!m_AskedAt)
    return true;
  const bool Failed = !m_ReadAt || *m_ReadAt < *m_AskedAt;
  if (Failed)
    return Now - *m_AskedAt >= RetryInterval;
  return (m_DueAt && Now >= *m_DueAt) ||
         (Now - *m_ReadAt >= CompareInterval && BlocksAny());
}

void updateAges(schema::BlockedMarks &Row, std::uint64_t StoreNowMs) {
  const std::uint64_t Passed =
      StoreNowMs > Row.store_ms() ? StoreNowMs - Row.store_ms() : 0;
  schema::BlockedMarks Current;
  Current.set_store_ms(StoreNowMs);
  for (schema::CrashMark &Mark : *Row.mutable_marks()) {
    Mark.set_seen_age_ms(addMs(Mark.seen_age_ms(), Passed));
    Mark.set_cleared_age_ms(addMs(Mark.cleared_age_ms(), Passed));
    Mark.set_answered_age_ms(addMs(Mark.answered_age_ms(), Passed));
    for (schema::EndpointCrash &Crash : *Mark.mutable_crashes()) {
      Crash.set_age_ms(addMs(Crash.age_ms(), Passed));
      Crash.set_sent_age_ms(addMs(Crash.sent_age_ms(), Passed));
    }
    if (seenAge(Mark) < CrashSuspects::quietTime())
      Current.add_marks()->Swap(&Mark);
  }
  Row.Swap(&Current);
}

bool isOutdated(const schema::BlockedMarks &Stored,
                const schema::BlockedMarks &Known) {
  std::map<std::pair<int, std::string>, const schema::CrashMark *> ByMark;
  for (const schema::CrashMark &Mark : Stored.marks())
    ByMark[{Mark.kind(), Mark.id()}] = &Mark;
  if (static_cast<int>(ByMark.size()) != Known.marks_size())
    return true;
  return std::any_of(
      Known.marks().begin(), Known.marks().end(),
      [&](const schema::CrashMark &Mark) {
        const auto Found = ByMark.find({Mark.kind(), Mark.id()});
        return Found == ByMark.end() ||
               statementOf(*Found->second) != statementOf(Mark) ||
               seenAge(*Found->second) - seenAge(Mark) >= CompareInterval;
      });
}

} // namespace mimosadale::decide
