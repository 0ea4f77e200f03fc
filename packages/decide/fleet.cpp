#include "decide/fleet.h"

#include <algorithm>
#include <set>

namespace mimosadale::decide {

namespace {

// Time after it was seen to leave in which an engine still takes part in paths:
// half of the shortest time in which it must get nothing more.
constexpr Duration LeavingGracePeriod = std::chrono::milliseconds(1000);

// Time for which an endpoint that said that it leaves is remembered without an
// entry: entries come back with the store, whose outages last minutes.
constexpr Duration LeavingRetention = std::chrono::minutes(10);

// Time after which a report is overdue: many times the way to an engine and
// back, and with the pause before it is asked below the shortest pause of a
// stream that counts as late.
constexpr Duration ReportOverdueAfter = std::chrono::milliseconds(70);

// Time for which paths lead around an engine that refuses its part, doubled
// each time up to the longest: an order that gives layers up takes some
// seconds, a leaving that the registry does not show as long as the store is
// down.
constexpr Duration RefusalBackoff = std::chrono::seconds(2);
constexpr unsigned MaxBackoffDoublings = 2;

// Time after which the next such refusal is not one in a row: several requests
// went through it by then.
constexpr Duration RefusalStreakWindow = std::chrono::seconds(5);

// Times the time of its kind from which on an engine counts as slow.
constexpr double SlowThreshold = 3;

bool sameRegistration(const EndpointRecord &A, const EndpointRecord &B) {
  return A.m_Service == B.m_Service && A.m_Address == B.m_Address &&
         A.m_Leaving == B.m_Leaving && A.m_Layers == B.m_Layers &&
         A.m_StartedMs == B.m_StartedMs;
}

} // namespace

bool FleetEndpoint::slow() const {
  return m_Load && m_Load->m_Slowdown >= SlowThreshold;
}

bool FleetEndpoint::reportOverdue(Instant Now) const {
  return m_ReportRequestedAt && Now - *m_ReportRequestedAt > ReportOverdueAfter;
}

void Fleet::put(const EndpointRecord &Entry, Instant Now) {
  EndpointRecord Record = Entry;
  FleetEndpoint &Known = m_All[Record.m_Id];
  const bool Restarted = Known.m_Record.m_StartedMs != 0 &&
                         Record.m_StartedMs > Known.m_Record.m_StartedMs;
  if (Restarted)
    Known = FleetEndpoint{};
  Known.m_Unregistered = false;
  // Its own word is newer than its entry, which a store that was away may bring
  // back as it was.
  Record.m_Leaving |= Known.m_AnnouncedLeaving;
  if (sameRegistration(Known.m_Record, Record))
    return;
  // What it said of its memory is of other layers.
  if (Known.m_Record.m_Layers != Record.m_Layers) {
    Known.m_Load.reset();
    Known.m_LoadAt = Now;
    m_LayerChanges += Record.m_Layers.m_End > 0 ? 1 : 0;
  }
  if (Record.m_Leaving && !Known.m_Record.m_Leaving) {
    Known.m_LeavingSince = Now;
    Known.m_LeavingGraceOver = false;
  }
  // Its refusals are explained; those of one that leaves go on.
  if (Known.m_Refusing && Record.m_Leaving)
    Known.m_LeavingGraceOver = true;
  Known.m_Refusing = false;
  Known.m_ConsecutiveRefusals = 0;
  const bool Moved = Known.m_Record.m_Address != Record.m_Address || Restarted;
  Known.m_Record = Record;
  ++m_Revision;
  if (Moved)
    resolveAddressOwner(Record.m_Address);
}

// Entries of ended endpoints stay until they expire, and longer while the store
// is down. Those that do not tell their start count as started before.
void Fleet::resolveAddressOwner(const std::string &Address) {
  const FleetEndpoint *Latest = nullptr;
  for (const auto &[Id, Known] : m_All)
    if (Known.m_Record.m_Address == Address &&
        (!Latest || Known.m_Record.m_StartedMs > Latest->m_Record.m_StartedMs))
      Latest = &Known;
  for (auto &[Id, Known] : m_All)
    if (Known.m_Record.m_Address == Address)
      Known.m_Superseded =
          Known.m_Record.m_StartedMs < Latest->m_Record.m_StartedMs;
}

bool Fleet::markLeaving(FleetEndpoint &Known, Instant Now) {
  if (Known.m_Record.m_Leaving)
    return false;
  Known.m_Record.m_Leaving = true;
  Known.m_LeavingSince = Now;
  return true;
}

void Fleet::remove(const EndpointId &Id, Instant Now) {
  const auto Found = m_All.find(Id);
  if (Found == m_All.end() || Found->second.m_Unregistered)
    return;
  FleetEndpoint &Known = Found->second;
  Known.m_Unregistered = true;
  markLeaving(Known, Now);
  ++m_Revision;
}

void Fleet::replaceAll(const std::vector<EndpointRecord> &Records,
                       Instant Now) {
  std::set<EndpointId> Listed;
  for (const EndpointRecord &Each : Records) {
    Listed.insert(Each.m_Id);
    put(Each, Now);
  }
  std::vector<EndpointId> Gone;
  for (const auto &[Id, Known] : m_All)
    if (!Listed.contains(Id))
      Gone.push_back(Id);
  for (const EndpointId &Each : Gone)
    remove(Each, Now);
}

void Fleet::onTick(Instant Now) {
  std::erase_if(m_All, [&](const auto &Each) {
    const FleetEndpoint &Known = Each.second;
    return Known.m_Unregistered && Known.m_LeavingGraceOver &&
           (!Known.m_AnnouncedLeaving ||
            Now - Known.m_LeavingSince > LeavingRetention);
  });
  for (auto &[Id, Known] : m_All) {
    if (Known.m_Refusing && Now >= Known.m_RefusingUntil) {
      Known.m_Refusing = false;
      ++m_Revision;
    }
    if (Known.m_Record.m_Leaving && !Known.m_LeavingGraceOver &&
        Now - Known.m_LeavingSince > LeavingGracePeriod) {
      Known.m_LeavingGraceOver = true;
      ++m_Revision;
    }
  }
}

bool Fleet::suspect(const EndpointId &Id, const std::string &Why, Instant Now) {
  const auto Found = m_All.find(Id);
  if (Found == m_All.end() || Found->second.m_Suspect)
    return false;
  Found->second.m_Suspect = true;
  Found->second.m_SuspectSince = Now;
  Found->second.m_SuspectReason = Why;
  ++m_Revision;
  return true;
}

bool Fleet::clearSuspicion(const EndpointId &Id) {
  const auto Found = m_All.find(Id);
  if (Found == m_All.end())
    return false;
  Found->second.m_Faults = 0;
  if (!Found->second.m_Suspect)
    return false;
  Found->second.m_Suspect = false;
  ++m_Revision;
  return true;
}

void Fleet::onReport(const EndpointId &Id, const EngineLoadReport &Load,
                     Instant Now) {
  const auto Found = m_All.find(Id);
  if (Found == m_All.end() || Now < Found->second.m_LoadAt)
    return;
  Found->second.m_Load = Load;
  Found->second.m_LoadAt = Now;
  Found->second.m_LoadSequence = ++m_Reports;
  Found->second.m_KvSinceReport = 0;
  Found->second.m_SentSinceReport = 0;
}

void Fleet::onReportRequested(const EndpointId &Id, Instant Now) {
  if (const auto Found = m_All.find(Id); Found != m_All.end())
    Found->second.m_ReportRequestedAt = Now;
}

void Fleet::onReportRequestEnded(const EndpointId &Id) {
  if (const auto Found = m_All.find(Id); Found != m_All.end())
    Found->second.m_ReportRequestedAt.reset();
}

bool Fleet::onAnnouncedLeaving(const EndpointId &Id, Instant Now) {
  const auto Found = m_All.find(Id);
  if (Found == m_All.end() || Found->second.m_AnnouncedLeaving)
    return false;
  FleetEndpoint &Known = Found->second;
  Known.m_AnnouncedLeaving = true;
  if (markLeaving(Known, Now))
    ++m_Revision;
  return true;
}

void Fleet::onPaused(const EndpointId &Id, Instant Until) {
  if (const auto Found = m_All.find(Id); Found != m_All.end())
    Found->second.m_PausedUntil = std::max(Found->second.m_PausedUntil, Until);
}

void Fleet::onFull(const EndpointId &Id, Instant Until) {
  if (const auto Found = m_All.find(Id); Found != m_All.end())
    Found->second.m_FullUntil = Until;
}

bool Fleet::onStageRefused(const EndpointId &Id, Instant Now) {
  const auto Found = m_All.find(Id);
  if (Found == m_All.end() || Found->second.m_Refusing)
    return false;
  FleetEndpoint &Known = Found->second;
  const bool InRow = Known.m_ConsecutiveRefusals > 0 &&
                     Now - Known.m_RefusingUntil < RefusalStreakWindow;
  Known.m_ConsecutiveRefusals = InRow ? Known.m_ConsecutiveRefusals + 1 : 1;
  Known.m_Refusing = true;
  Known.m_RefusingUntil =
      Now + RefusalBackoff * (1u << std::min(Known.m_ConsecutiveRefusals - 1,
                                             MaxBackoffDoublings));
  ++m_Revision;
  return true;
}

void Fleet::onLayersConfirmed(const EndpointId &Id, LayerRange Layers) {
  const auto Found = m_All.find(Id);
  if (Found == m_All.end() || Found->second.m_Record.m_Layers == Layers)
    return;
  Found->second.m_Record.m_Layers = Layers;
  ++m_Revision;
}

void Fleet::adjustInFlight(const EndpointId &Id, int Change) {
  const auto Found = m_All.find(Id);
  if (Found == m_All.end())
    return;
  FleetEndpoint &Known = Found->second;
  Known.m_InFlight = static_cast<unsigned>(
      std::max(0, static_cast<int>(Known.m_InFlight) + Change));
  if (Change > 0)
    ++Known.m_SentSinceReport;
}

void Fleet::adjustKvInFlight(const EndpointId &Id, double Kv) {
  const auto Found = m_All.find(Id);
  if (Found == m_All.end())
    return;
  Found->second.m_KvInFlight = std::max(0.0, Found->second.m_KvInFlight + Kv);
  if (Kv > 0)
    Found->second.m_KvSinceReport += Kv;
}

const FleetEndpoint *Fleet::find(const EndpointId &Id) const {
  const auto Found = m_All.find(Id);
  return Found == m_All.end() ? nullptr : &Found->second;
}

const FleetEndpoint *Fleet::findByAddress(const std::string &Address) const {
  for (const auto &[Id, Known] : m_All)
    if (Known.m_Record.m_Address == Address && !Known.m_Superseded)
      return &Known;
  return nullptr;
}

} // namespace mimosadale::decide
