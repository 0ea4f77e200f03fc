#include "decide/load_digest.h"

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

// Time by which an engine's report may lag behind its state (the platform
// states some hundred milliseconds).
constexpr Duration ReportLag = std::chrono::milliseconds(500);

} // namespace

schema::LoadDigest digestOf(const Fleet &Engines, Instant Now) {
  schema::LoadDigest To;
  for (const auto &[Id, Known] : Engines.all()) {
    if (!Known.m_Load || Now - Known.m_LoadAt > OldestPassedOn)
      continue;
    schema::EngineLoad &Each = *To.add_engines();
    Each.set_engine(Id.str());
    Each.set_kv_used(Known.m_Load->m_KvUsed);
    Each.set_kv_total(Known.m_Load->m_KvTotal);
    Each.set_queued(Known.m_Load->m_Queued);
    Each.set_running(Known.m_Load->m_Running);
    Each.set_slowdown(Known.m_Load->m_Slowdown);
    Each.set_age_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Now -
                                                              Known.m_LoadAt)
            .count()));
  }
  return To;
}

std::vector<EndpointId>
takeDigest(Fleet &Engines, const schema::LoadDigest &From, Instant Asked) {
  std::vector<EndpointId> Back;
  for (const schema::EngineLoad &Each : From.engines()) {
    const EndpointId Id(Each.engine());
    const Instant At = Asked - std::chrono::milliseconds(Each.age_ms());
    const FleetEndpoint *Known = Engines.find(Id);
    if (!Known || At <= Known->m_LoadAt)
      continue;
    if (Known->m_Suspect && At > Known->m_SuspectSince + ReportLag)
      Back.push_back(Id);
    Engines.onReport(Id,
                     {Each.kv_used(), Each.kv_total(), Each.queued(),
                      Each.running(), Each.slowdown()},
                     At);
  }
  return Back;
}

bool LoadSource::told(Instant Now) const {
  return m_TakenAt && Now - *m_TakenAt < ToldFor;
}

Duration LoadSource::pause() { return DigestPause; }

} // namespace mimosadale::decide
