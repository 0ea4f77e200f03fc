#include "decide/fleet.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mimosadale::decide {

namespace {

// Time for which paths still use an engine that leaves: half of the shortest
// time after which it must get no more requests.
constexpr Duration LeavingGracePeriod = std::chrono::milliseconds(1000);

// Time after which an endpoint that a restored registry lacks is gone: entries
// of live endpoints are written again within two seconds.
constexpr Duration MissingEntryTimeout = std::chrono::seconds(2);

// Time after which an entry of a restored registry is believed against what is
// known: an endpoint that is gone does not renew its entry, which then expires
// after three heartbeat intervals, and one that leaves has said so again.
constexpr Duration HeldEntryTimeout = std::chrono::seconds(6);

// Time for which an announced leaving is kept after the registry entry is gone:
// a store that recovers restores entries, and its outages last minutes.
constexpr Duration LeavingRetention = std::chrono::minutes(10);

// Many times the round trip to an engine, and together with the stall before
// the report is requested below the shortest stall that counts as late.
constexpr Duration ReportOverdueAfter = std::chrono::milliseconds(70);

// Time for which paths avoid an engine that refuses its stage, doubled with
// each consecutive refusal: an order that releases layers takes some seconds,
// and a leaving that the registry does not show lasts as long as the store is
// down.
constexpr Duration RefusalBackoff = std::chrono::seconds(2);
constexpr unsigned MaxBackoffDoublings = 2;

// Time after the end of the backoff in which another refusal counts as
// consecutive; after that, several requests have passed through the engine.
constexpr Duration RefusalStreakWindow = std::chrono::seconds(5);

// Reported slowdown from which an engine counts as slow.
constexpr double SlowThreshold = 3;

// Requests in a row whose answers were invalid from which an endpoint is
// suspect. Sound endpoints spoil a single one now and then.
constexpr unsigned InvalidAnswersToSuspect = 2;

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
  m_HeldEntries.erase(Record.m_Id);
  FleetEndpoint &Endpoint = m_Endpoints[Record.m_Id];
  if (const auto Departed = m_Departures.find(Record.m_Id);
      Departed != m_Departures.end()) {
    Endpoint.m_ListedLeaving =
        Departed->second.m_SaidLeaving &&
        (Record.m_StartedMs <= Departed->second.m_StartedMs ||
         Departed->second.m_StartedMs == 0);
    m_Departures.erase(Departed);
  }
  const bool Restarted = Endpoint.m_Record.m_StartedMs != 0 &&
                         Record.m_StartedMs > Endpoint.m_Record.m_StartedMs;
  if (Restarted)
    Endpoint = FleetEndpoint{};
  Endpoint.m_Unregistered = false;
  Endpoint.m_MissingSince.reset();
  // Without a start time, a later entry may be that of a restart.
  Endpoint.m_ListedLeaving |= Record.m_Leaving && Record.m_StartedMs != 0;
  // What it said is newer than its entry, which a store that recovers may
  // restore in an older state.
  Record.m_Leaving |= Endpoint.m_AnnouncedLeaving || Endpoint.m_ListedLeaving;
  if (sameRegistration(Endpoint.m_Record, Record))
    return;
  // Its report of used memory relates to its previous layers.
  if (Endpoint.m_Record.m_Layers != Record.m_Layers) {
    Endpoint.m_Load.reset();
    Endpoint.m_LoadUpdatedAt = Now;
    m_LayerChanges += Record.m_Layers.m_End > 0 ? 1 : 0;
  }
  if (Record.m_Leaving && !Endpoint.m_Record.m_Leaving) {
    Endpoint.m_LeavingSince = Now;
    Endpoint.m_LeavingGraceOver = false;
  }
  // The changed entry explains its refusals; a leaving engine continues to
  // refuse.
  if (Endpoint.m_Refusing && Record.m_Leaving)
    Endpoint.m_LeavingGraceOver = true;
  Endpoint.m_Refusing = false;
  Endpoint.m_ConsecutiveRefusals = 0;
  const bool AddressChanged =
      Endpoint.m_Record.m_Address != Record.m_Address || Restarted;
  Endpoint.m_Record = Record;
  ++m_Revision;
  if (AddressChanged)
    resolveAddressOwner(Record.m_Address);
}

// Entries of stopped endpoints remain until they expire, and longer while the
// store is down. Entries without a start time count as the oldest.
void Fleet::resolveAddressOwner(const std::string &Address) {
  const FleetEndpoint *Latest = nullptr;
  for (const auto &[Id, Endpoint] : m_Endpoints)
    if (Endpoint.m_Record.m_Address == Address &&
        (!Latest ||
         Endpoint.m_Record.m_StartedMs > Latest->m_Record.m_StartedMs))
      Latest = &Endpoint;
  for (auto &[Id, Endpoint] : m_Endpoints)
    if (Endpoint.m_Record.m_Address == Address)
      Endpoint.m_Superseded =
          Endpoint.m_Record.m_StartedMs < Latest->m_Record.m_StartedMs;
}

bool Fleet::markLeaving(FleetEndpoint &Endpoint, Instant Now) {
  if (Endpoint.m_Record.m_Leaving)
    return false;
  Endpoint.m_Record.m_Leaving = true;
  Endpoint.m_LeavingSince = Now;
  return true;
}

void Fleet::remove(const EndpointId &Id, Instant Now) {
  m_HeldEntries.erase(Id);
  const auto It = m_Endpoints.find(Id);
  if (It == m_Endpoints.end() || It->second.m_Unregistered)
    return;
  FleetEndpoint &Endpoint = It->second;
  Endpoint.m_Unregistered = true;
  Endpoint.m_MissingSince.reset();
  markLeaving(Endpoint, Now);
  ++m_Revision;
}

// Whether \p Record, from a copy, is older than what is known. A leaving is
// never taken back, so that it is true however old the copy is.
bool Fleet::contradictsKnown(const EndpointRecord &Record) const {
  if (Record.m_Leaving)
    return false;
  if (const auto Known = m_Endpoints.find(Record.m_Id);
      Known != m_Endpoints.end())
    return Record.m_StartedMs <= Known->second.m_Record.m_StartedMs &&
           (Known->second.m_Unregistered ||
            !sameRegistration(Known->second.m_Record, Record));
  const auto Departed = m_Departures.find(Record.m_Id);
  return Departed != m_Departures.end() &&
         Record.m_StartedMs <= Departed->second.m_StartedMs;
}

void Fleet::restore(const std::vector<EndpointRecord> &Records, Instant Now) {
  m_HeldEntries.clear();
  std::set<EndpointId> Listed;
  for (const EndpointRecord &Record : Records) {
    Listed.insert(Record.m_Id);
    if (contradictsKnown(Record))
      m_HeldEntries[Record.m_Id] = {Record, Now + HeldEntryTimeout};
    else
      put(Record, Now);
  }
  for (auto &[Id, Endpoint] : m_Endpoints)
    if (!Endpoint.m_Unregistered && !Listed.contains(Id))
      Endpoint.m_MissingSince = Endpoint.m_MissingSince.value_or(Now);
}

void Fleet::applyHeldEntries(Instant Now) {
  std::vector<EndpointRecord> Due;
  for (const auto &[Id, Held] : m_HeldEntries)
    if (Now >= Held.m_Until)
      Due.push_back(Held.m_Record);
  for (const EndpointRecord &Record : Due)
    put(Record, Now);
}

void Fleet::removeMissing(Instant Now) {
  std::vector<EndpointId> Missing;
  for (const auto &[Id, Endpoint] : m_Endpoints)
    if (Endpoint.m_MissingSince &&
        Now - *Endpoint.m_MissingSince >= MissingEntryTimeout)
      Missing.push_back(Id);
  for (const EndpointId &Id : Missing)
    remove(Id, Now);
}

void Fleet::replaceAll(const std::vector<EndpointRecord> &Records,
                       Instant Now) {
  std::set<EndpointId> Listed;
  for (const EndpointRecord &Record : Records) {
    Listed.insert(Record.m_Id);
    const auto Held = m_HeldEntries.find(Record.m_Id);
    if (Held == m_HeldEntries.end() ||
        !sameRegistration(Held->second.m_Record, Record))
      put(Record, Now);
  }
  std::vector<EndpointId> Unlisted;
  for (const auto &[Id, Endpoint] : m_Endpoints)
    if (!Listed.contains(Id) && !Endpoint.m_MissingSince)
      Unlisted.push_back(Id);
  for (const EndpointId &Id : Unlisted)
    remove(Id, Now);
}

void Fleet::onTick(Instant Now) {
  applyHeldEntries(Now);
  removeMissing(Now);
  std::erase_if(m_Departures, [&](const auto &Item) {
    return Now - Item.second.m_At > LeavingRetention;
  });
  std::erase_if(m_Endpoints, [&](const auto &Item) {
    const auto &[Id, Endpoint] = Item;
    const bool Erased = Endpoint.m_Unregistered &&
                        Endpoint.m_LeavingGraceOver &&
                        (!Endpoint.m_AnnouncedLeaving ||
                         Now - Endpoint.m_LeavingSince > LeavingRetention);
    if (Erased)
      m_Departures[Id] = {
          Endpoint.m_Record.m_StartedMs,
          Endpoint.m_AnnouncedLeaving || Endpoint.m_ListedLeaving, Now};
    return Erased;
  });
  for (auto &[Id, Endpoint] : m_Endpoints) {
    if (Endpoint.m_Refusing && Now >= Endpoint.m_RefusingUntil) {
      Endpoint.m_Refusing = false;
      ++m_Revision;
    }
    if (Endpoint.m_Record.m_Leaving && !Endpoint.m_LeavingGraceOver &&
        Now - Endpoint.m_LeavingSince > LeavingGracePeriod) {
      Endpoint.m_LeavingGraceOver = true;
      ++m_Revision;
    }
  }
}

bool Fleet::suspect(const EndpointId &Id, const std::string &Reason,
                    Instant Now) {
  const auto It = m_Endpoints.find(Id);
  if (It == m_Endpoints.end() || It->second.m_Suspect)
    return false;
  It->second.m_Suspect = true;
  It->second.m_SuspectSince = Now;
  It->second.m_SuspectReason = Reason;
  ++m_Revision;
  return true;
}

bool Fleet::clearSuspicion(const EndpointId &Id) {
  const auto It = m_Endpoints.find(Id);
  if (It == m_Endpoints.end())
    return false;
  if (!It->second.m_Suspect)
    return false;
  It->second.m_Suspect = false;
  ++m_Revision;
  return true;
}

bool Fleet::onAnswered(const EndpointId &Id, bool IsValid) {
  const auto It = m_Endpoints.find(Id);
  if (It == m_Endpoints.end())
    return false;
  unsigned &Invalid = It->second.m_InvalidAnswers;
  Invalid = IsValid ? 0 : Invalid + 1;
  return Invalid >= InvalidAnswersToSuspect;
}

void Fleet::onReport(const EndpointId &Id, const EngineLoadReport &Load,
                     Instant Now) {
  const auto It = m_Endpoints.find(Id);
  if (It == m_Endpoints.end() || Now < It->second.m_LoadUpdatedAt)
    return;
  It->second.m_Load = Load;
  It->second.m_LoadUpdatedAt = Now;
  It->second.m_LoadSequence = ++m_ReportCount;
  It->second.m_KvSinceReport = 0;
  It->second.m_SentSinceReport = 0;
}

void Fleet::onReportRequested(const EndpointId &Id, Instant Now) {
  if (const auto It = m_Endpoints.find(Id); It != m_Endpoints.end())
    It->second.m_ReportRequestedAt = Now;
}

void Fleet::onReportRequestEnded(const EndpointId &Id) {
  if (const auto It = m_Endpoints.find(Id); It != m_Endpoints.end())
    It->second.m_ReportRequestedAt.reset();
}

bool Fleet::onAnnouncedLeaving(const EndpointId &Id, Instant Now) {
  const auto It = m_Endpoints.find(Id);
  if (It == m_Endpoints.end()) {
    // Its entry may be written again, as that of a live endpoint.
    const auto Departed = m_Departures.find(Id);
    return Departed != m_Departures.end() &&
           !std::exchange(Departed->second.m_SaidLeaving, true);
  }
  if (It->second.m_AnnouncedLeaving)
    return false;
  FleetEndpoint &Endpoint = It->second;
  Endpoint.m_AnnouncedLeaving = true;
  if (markLeaving(Endpoint, Now))
    ++m_Revision;
  return true;
}

void Fleet::onPaused(const EndpointId &Id, Instant Until) {
  if (const auto It = m_Endpoints.find(Id); It != m_Endpoints.end())
    It->second.m_PausedUntil = std::max(It->second.m_PausedUntil, Until);
}

void Fleet::onAdmission(const EndpointId &Id, Instant From) {
  if (const auto It = m_Endpoints.find(Id); It != m_Endpoints.end())
    It->second.m_AdmitsFrom = From;
}

void Fleet::onFull(const EndpointId &Id, Instant Until) {
  if (const auto It = m_Endpoints.find(Id); It != m_Endpoints.end())
    It->second.m_FullUntil = Until;
}

bool Fleet::onStageRefused(const EndpointId &Id, Instant Now) {
  const auto It = m_Endpoints.find(Id);
  if (It == m_Endpoints.end() || It->second.m_Refusing)
    return false;
  FleetEndpoint &Endpoint = It->second;
  const bool Consecutive = Endpoint.m_ConsecutiveRefusals > 0 &&
                           Now - Endpoint.m_RefusingUntil < RefusalStreakWindow;
  Endpoint.m_ConsecutiveRefusals =
      Consecutive ? Endpoint.m_ConsecutiveRefusals + 1 : 1;
  Endpoint.m_Refusing = true;
  Endpoint.m_RefusingUntil =
      Now + RefusalBackoff * (1u << std::min(Endpoint.m_ConsecutiveRefusals - 1,
                                             MaxBackoffDoublings));
  ++m_Revision;
  return true;
}

void Fleet::onLayersConfirmed(const EndpointId &Id, LayerRange Layers) {
  const auto It = m_Endpoints.find(Id);
  if (It == m_Endpoints.end() || It->second.m_Record.m_Layers == Layers)
    return;
  It->second.m_Record.m_Layers = Layers;
  ++m_Revision;
}

void Fleet::adjustInFlight(const EndpointId &Id, int Delta) {
  const auto It = m_Endpoints.find(Id);
  if (It == m_Endpoints.end())
    return;
  FleetEndpoint &Endpoint = It->second;
  Endpoint.m_InFlight = static_cast<unsigned>(
      std::max(0, static_cast<int>(Endpoint.m_InFlight) + Delta));
  if (Delta > 0)
    ++Endpoint.m_SentSinceReport;
}

void Fleet::adjustKvInFlight(const EndpointId &Id, double Delta) {
  const auto It = m_Endpoints.find(Id);
  if (It == m_Endpoints.end())
    return;
  It->second.m_KvInFlight = std::max(0.0, It->second.m_KvInFlight + Delta);
  if (Delta > 0)
    It->second.m_KvSinceReport += Delta;
}

const FleetEndpoint *Fleet::find(const EndpointId &Id) const {
  const auto It = m_Endpoints.find(Id);
  return It == m_Endpoints.end() ? nullptr : &It->second;
}

const FleetEndpoint *Fleet::findByAddress(const std::string &Address) const {
  for (const auto &[Id, Endpoint] : m_Endpoints)
    if (Endpoint.m_Record.m_Address == Address && !Endpoint.m_Superseded)
      return &Endpoint;
  return nullptr;
}

} // namespace mimosadale::decide
