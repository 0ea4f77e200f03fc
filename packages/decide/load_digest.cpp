#include "decide/load_digest.h"

#include <algorithm>
#include <cmath>

namespace mimosadale::decide {

namespace {

// Age up to which a report is relayed: greater than the longest interval
// between two reports of one engine (`report_schedule.cpp`).
constexpr Duration MaxSharedAge = std::chrono::milliseconds(2500);

// Equal to the interval between reports of an engine with high usage, so that
// relaying at most doubles the age of a report.
constexpr Duration DigestInterval = std::chrono::milliseconds(400);

// Time without a digest, three missed ones, after which a router polls the
// engines itself.
constexpr Duration DigestLifetime = 3 * DigestInterval;

// A token count as an integer, limited to the range that a double represents
// exactly.
std::uint64_t toWireCount(double Count) {
  return static_cast<std::uint64_t>(
      std::llround(std::clamp(Count, 0.0, MaxExactInteger)));
}

} // namespace

schema::LoadDigest makeDigest(const Fleet &Engines,
                              const schema::LoadQuestion &Question,
                              std::uint64_t Start, Instant Now) {
  const std::uint64_t After = Question.start() == Start ? Question.after() : 0;
  schema::LoadDigest Digest;
  Digest.set_start(Start);
  Digest.set_newest(Engines.latestReportSequence());
  for (const auto &[Id, Engine] : Engines.all()) {
    if (!Engine.m_Load || Engine.m_LoadSequence <= After ||
        Now - Engine.m_LoadUpdatedAt > MaxSharedAge)
      continue;
    schema::EngineLoad &Entry = *Digest.add_engines();
    Entry.set_engine(Id.str());
    Entry.set_kv_used(toWireCount(Engine.m_Load->m_KvUsed));
    Entry.set_kv_total(toWireCount(Engine.m_Load->m_KvTotal));
    Entry.set_queued(Engine.m_Load->m_Queued);
    Entry.set_running(Engine.m_Load->m_Running);
    Entry.set_slowdown(static_cast<float>(Engine.m_Load->m_Slowdown));
    Entry.set_order_in_progress(Engine.m_Load->m_OrderInProgress);
    Entry.set_age_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Now - Engine.m_LoadUpdatedAt)
            .count()));
  }
  return Digest;
}

DigestResult mergeDigest(Fleet &Engines, const schema::LoadDigest &Digest,
                         Instant RequestedAt) {
  DigestResult Result;
  for (const schema::EngineLoad &Entry : Digest.engines()) {
    const EndpointId Id(Entry.engine());
    const Instant ReportedAt =
        RequestedAt - std::chrono::milliseconds(Entry.age_ms());
    const FleetEndpoint *Engine = Engines.find(Id);
    Result.m_Complete &= Engine != nullptr;
    if (!Engine || ReportedAt <= Engine->m_LoadUpdatedAt)
      continue;
    if (Engine->m_Suspect && ReportedAt > Engine->m_SuspectSince + MaxReportLag)
      Result.m_Recovered.push_back(Id);
    Engines.onReport(Id,
                     {static_cast<double>(Entry.kv_used()),
                      static_cast<double>(Entry.kv_total()), Entry.queued(),
                      Entry.running(), Entry.slowdown(),
                      Entry.order_in_progress()},
                     ReportedAt);
  }
  return Result;
}

schema::LoadQuestion DigestTracker::question(const std::string &Router) const {
  return Router == m_Router ? m_NextQuestion : schema::LoadQuestion();
}

void DigestTracker::onDigest(const std::string &Router,
                             const schema::LoadDigest &Digest, bool Complete,
                             Instant Now) {
  m_LastDigestAt = Now;
  if (!Complete && Router == m_Router)
    return;
  m_Router = Router;
  m_NextQuestion.Clear();
  if (Complete) {
    m_NextQuestion.set_start(Digest.start());
    m_NextQuestion.set_after(Digest.newest());
  }
}

bool DigestTracker::isCurrent(Instant Now) const {
  return m_LastDigestAt && Now - *m_LastDigestAt < DigestLifetime;
}

Duration DigestTracker::interval() { return DigestInterval; }

} // namespace mimosadale::decide
