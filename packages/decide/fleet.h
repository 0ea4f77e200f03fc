// The endpoints of all services, as registered and as experienced.
#ifndef MIMOSADALE_DECIDE_FLEET_H
#define MIMOSADALE_DECIDE_FLEET_H

#include "base/id.h"
#include "base/units.h"
#include "decide/path.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::decide {

/// What an endpoint says of itself in the registry or in its report.
struct EndpointRecord {
  EndpointId m_Id;
  ServiceId m_Service;
  std::string m_Address; // ip:port
  DataCentreId m_DataCentre;
  bool m_Leaving = false;
  unsigned m_Slots = 0;
  std::string m_Accelerator;     // kind; empty for plain services
  LayerRange m_Layers;           // held now; empty for plain services
  std::uint64_t m_StartedMs = 0; // Unix time of its start; 0 when not told
};

/// Load of an engine as it reported it.
struct EngineLoadReport {
  double m_KvUsed = 0;  // tokens times layers
  double m_KvTotal = 0; // tokens times layers
  unsigned m_Queued = 0;
  unsigned m_Running = 0;
  double m_Slowdown = 1; // over 1: slower than its kind
  bool m_OrderInProgress = false;
};

/// Time by which an engine's report may lag behind its state: above what the
/// platform states, some hundred milliseconds.
constexpr Duration MaxReportLag = std::chrono::milliseconds(500);

/// One endpoint with what this router believes of it.
struct FleetEndpoint {
  EndpointRecord m_Record;
  Instant m_LeavingSince{}; // when this router heard that it leaves
  bool m_Suspect = false;
  Instant m_SuspectSince{};
  std::string m_SuspectReason;
  unsigned m_Faults = 0;          // in a row
  unsigned m_InFlight = 0;        // requests of this router, as first stage
  unsigned m_SentSinceReport = 0; // as first stage, by this router
  Instant m_FullUntil{};          // it refused a request for want of a place
  bool m_Refusing = false; // it refuses its part of paths for other causes
  Instant m_RefusingUntil{};
  unsigned m_ConsecutiveRefusals = 0; // such times in a row
  double m_KvInFlight = 0;            // tokens times layers, of this router
  double m_KvSinceReport = 0; // sent by this router since the last report
  std::optional<EngineLoadReport> m_Load;
  Instant m_LoadAt{};
  std::uint64_t m_LoadSequence = 0; // in the order in which reports came here
  std::optional<Instant>
      m_ReportRequestedAt; // a report was asked for and is not there

  bool m_AnnouncedLeaving = false; // in an answer; holds for this start of it
  Instant m_PausedUntil{};         // it wants nothing from this host until then

  bool m_Superseded = false;   // a later start has its address
  bool m_Unregistered = false; // by the registry
  bool m_LeavingGraceOver =
      false; // it has been leaving for too long to be used

  /// Whether its own word is that it runs much slower than its kind.
  bool slow() const;

  /// Whether a report that was asked for takes longer than one of an engine
  /// that is there: a reason to lead a waiting request around it, not yet one
  /// to distrust it.
  bool reportOverdue(Instant Now) const;

  /// Whether it asked this host to send nothing for now.
  bool paused(Instant Now) const { return Now < m_PausedUntil; }

  /// Whether it holds layers in this data centre, by the registry.
  bool servesIn(const DataCentreId &Here) const {
    return m_Record.m_DataCentre == Here && m_Record.m_Layers.m_End > 0 &&
           !m_Unregistered;
  }

  /// Whether layers may be planned on it.
  bool usable() const {
    return !m_Suspect && !m_Superseded && !m_Record.m_Leaving;
  }

  /// Whether a path may still lead through it: for a moment after it began to
  /// leave, while others load its layers, unless it refuses by then.
  bool routable() const {
    return !m_Suspect && !m_Superseded && !m_Refusing &&
           (!m_Record.m_Leaving || !m_LeavingGraceOver);
  }
};

/// Endpoints by id. Every change that bears on paths raises the revision.
///
/// \par Thread safety
/// None.
class Fleet {
public:
  /// Takes the registry's word. A later start under the same id forgets what
  /// was believed before; one at the same address replaces the endpoint that
  /// had it, whose entry may stay for a while.
  void put(const EndpointRecord &Entry, Instant Now);

  /// The registry dropped \p Id: as one that leaves, since it may go on serving
  /// for a while, and it is forgotten after that.
  void remove(const EndpointId &Id, Instant Now);

  /// Replaces the whole registry view; what is not listed is removed.
  void replaceAll(const std::vector<EndpointRecord> &Records, Instant Now);

  /// Notes the passing of time. \pre Called several times a second.
  void onTick(Instant Now);

  /// Distrusts \p Id until `clearSuspicion`. \returns whether that is news.
  bool suspect(const EndpointId &Id, const std::string &Why, Instant Now);

  /// Trusts \p Id again: it answered a probe. \returns whether that is news.
  bool clearSuspicion(const EndpointId &Id);

  /// Takes the load that \p Id itself reported. Its layers are the registry's
  /// matter: a report lags behind it.
  void onReport(const EndpointId &Id, const EngineLoadReport &Load,
                Instant Now);

  /// The number of the newest report; 0 before the first one.
  std::uint64_t latestReportSequence() const { return m_Reports; }

  /// A report was asked of \p Id, and the question has ended, with an answer or
  /// without. \pre One question at a time.
  void onReportRequested(const EndpointId &Id, Instant Now);
  void onReportRequestEnded(const EndpointId &Id);

  /// \p Id said in an answer that it leaves. Holds whatever the registry says
  /// until a later start, through a loss of its entry too. \returns whether
  /// that is news.
  bool onAnnouncedLeaving(const EndpointId &Id, Instant Now);

  /// \p Id asked for nothing from this host until \p Until. A shorter pause
  /// never ends a longer one.
  void onPaused(const EndpointId &Id, Instant Until);

  /// \p Id refused a request for want of a place: it gets none until \p Until.
  void onFull(const EndpointId &Id, Instant Until);

  /// \p Id refused its part of a path though it has room: it leaves, gives
  /// layers up or lost them, and the registry does not tell yet, or cannot. New
  /// paths lead around it for a while, longer each time, or until the registry
  /// tells of a change. \returns whether that is news.
  bool onStageRefused(const EndpointId &Id, Instant Now);

  /// \p Id confirmed that it holds \p Layers.
  void onLayersConfirmed(const EndpointId &Id, LayerRange Layers);

  /// Counts a request of this router in or out; \p Kv in tokens times layers.
  void adjustInFlight(const EndpointId &Id, int Change);
  void adjustKvInFlight(const EndpointId &Id, double Kv);

  const FleetEndpoint *find(const EndpointId &Id) const;

  /// The endpoint that listens on \p Address, the latest start of several, or
  /// null.
  const FleetEndpoint *findByAddress(const std::string &Address) const;

  const std::map<EndpointId, FleetEndpoint> &all() const { return m_All; }

  /// Rises with each change of members, layers or trust.
  std::uint64_t revision() const { return m_Revision; }

  /// Rises with each change by which an engine holds other layers than none.
  std::uint64_t layerChanges() const { return m_LayerChanges; }

private:
  // Takes an endpoint for one that leaves. \returns whether that is news.
  static bool markLeaving(FleetEndpoint &Known, Instant Now);
  // Decides which of the endpoints at one address is there.
  void resolveAddressOwner(const std::string &Address);

  std::map<EndpointId, FleetEndpoint> m_All;
  std::uint64_t m_Revision = 1;
  std::uint64_t m_LayerChanges = 0;
  std::uint64_t m_Reports = 0; // taken so far
};

} // namespace mimosadale::decide

#endif
