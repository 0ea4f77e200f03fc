#include "decide/load_digest.h"

#include <algorithm>
#include <cmath>

namespace mimosadale::decide {

namespace {

// Age up to which a report is passed on: beyond the longest interval between
// two reports of one engine (`report_schedule.cpp`).
constexpr Duration OldestPassedOn = std::chrono::milliseconds(2500);

// Pause between two digests: the interval between reports of an engine that
// fills up, so that passing one on at most doubles its age.
constexpr Duration DigestPause = std::chrono::milliseconds(400);

// Time without a digest after which the engines are asked: three were missed.
constexpr Duration ToldFor = 3 * DigestPause;

// An engine's figure as it is sent: whole tokens, within bounds.
std::uint64_t wholeOf(double Figure) {
  return static_cast<std::uint64_t>(
      std::llround(std::clamp(Figure, 0.0, MaxExactInteger)));
}

} // namespace

schema::LoadDigest digestOf(const Fleet &Engines,
                            const schema::LoadQuestion &Asked,
                            std::uint64_t Start, Instant Now) {
  const std::uint64_t After = Asked.start() == Start ? Asked.after() : 0;
  schema::LoadDigest To;
  To.set_start(Start);
  To.set_newest(Engines.newestReport());
  for (const auto &[Id, Known] : Engines.all()) {
    if (!Known.m_Load || Known.m_LoadNumber <= After ||
        Now - Known.m_LoadAt > OldestPassedOn)
      continue;
    schema::EngineLoad &Each = *To.add_engines();
    Each.set_engine(Id.str());
    Each.set_kv_used(wholeOf(Known.m_Load->m_KvUsed));
    Each.set_kv_total(wholeOf(Known.m_Load->m_KvTotal));
    Each.set_queued(Known.m_Load->m_Queued);
    Each.set_running(Known.m_Load->m_Running);
    Each.set_slowdown(static_cast<float>(Known.m_Load->m_Slowdown));
    Each.set_order_in_progress(Known.m_Load->m_OrderInProgress);
    Each.set_age_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Now -
                                                              Known.m_LoadAt)
            .count()));
  }
  return To;
}

DigestTaken takeDigest(Fleet &Engines, const schema::LoadDigest &From,
                       Instant Asked) {
  DigestTaken Taken;
  for (const schema::EngineLoad &Each : From.engines()) {
    const EndpointId Id(Each.engine());
    const Instant At = Asked - std::chrono::milliseconds(Each.age_ms());
    const FleetEndpoint *Known = Engines.find(Id);
    Taken.m_Whole &= Known != nullptr;
    if (!Known || At <= Known->m_LoadAt)
      continue;
    if (Known->m_Suspect && At > Known->m_SuspectSince + LongestReportLag)
      Taken.m_Back.push_back(Id);
    Engines.onReport(Id,
                     {static_cast<double>(Each.kv_used()),
                      static_cast<double>(Each.kv_total()), Each.queued(),
                      Each.running(), Each.slowdown(),
                      Each.order_in_progress()},
                     At);
  }
  return Taken;
}

schema::LoadQuestion LoadSource::question(const std::string &Router) const {
  return Router == m_Router ? m_Next : schema::LoadQuestion();
}

void LoadSource::onDigest(const std::string &Router,
                          const schema::LoadDigest &From, bool Whole,
                          Instant Now) {
  m_TakenAt = Now;
  if (!Whole && Router == m_Router)
    return;
  m_Router = Router;
  m_Next.Clear();
  if (Whole) {
    m_Next.set_start(From.start());
    m_Next.set_after(From.newest());
  }
}

bool LoadSource::told(Instant Now) const {
  return m_TakenAt && Now - *m_TakenAt < ToldFor;
}

Duration LoadSource::pause() { return DigestPause; }

} // namespace mimosadale::decide
