// The endpoints of all services: their registry entries and what this router
// has observed of them.
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

/// The state of an endpoint according to its registry entry or its report.
struct EndpointRecord {
  EndpointId m_Id;
  ServiceId m_Service;
  std::string m_Address; // ip:port
  DataCentreId m_DataCentre;
  bool m_Leaving = false;
  unsigned m_Slots = 0;
  std::string m_Accelerator;     // kind; empty for plain services
  LayerRange m_Layers;           // currently held; empty for plain services
  std::uint64_t m_StartedMs = 0; // Unix time of its start; 0 if unknown
};

/// Load of an engine as reported by it.
struct EngineLoadReport {
  double m_KvUsed = 0;  // tokens times layers
  double m_KvTotal = 0; // tokens times layers
  unsigned m_Queued = 0;
  unsigned m_Running = 0;
  double m_Slowdown = 1; // above 1: slower than its accelerator kind
  bool m_OrderInProgress = false;
};

/// Longest time by which an engine's report lags behind its state: above the
/// lag that the platform states, some hundred milliseconds.
constexpr Duration MaxReportLag = std::chrono::milliseconds(500);

/// One endpoint with what this router knows of it.
struct FleetEndpoint {
  EndpointRecord m_Record;
  Instant m_LeavingSince{}; // when this router learned that it leaves
  bool m_Suspect = false;
  Instant m_SuspectSince{};
  std::string m_SuspectReason;
  unsigned m_InvalidAnswers = 0; // to requests, since the last valid one
  unsigned m_InFlight = 0; // requests of this router with this as first stage
  unsigned m_SentSinceReport = 0; // the same, sent since the last report
  Instant m_FullUntil{};          // it refused a request because it is full
  bool m_Refusing = false;        // it refuses its stage for another reason
  Instant m_RefusingUntil{};
  unsigned m_ConsecutiveRefusals = 0; // refusals of its stage
  double m_KvInFlight = 0;    // tokens times layers, of this router's requests
  double m_KvSinceReport = 0; // the same, sent since the last report
  std::optional<EngineLoadReport> m_Load;
  Instant m_LoadUpdatedAt{};
  std::uint64_t m_LoadSequence = 0; // ascending in order of arrival
  // When the outstanding report was requested.
  std::optional<Instant> m_ReportRequestedAt;

  bool m_AnnouncedLeaving = false; // in an answer; valid until it restarts
  bool m_ListedLeaving = false;    // in its entry; valid until it restarts
  Instant m_PausedUntil{}; // it asked this host to send nothing until then
  Instant m_AdmitsFrom{};  // by this router's share of the limit that it named

  bool m_Superseded = false;       // an endpoint started later has its address
  bool m_Unregistered = false;     // the registry has dropped it
  bool m_LeavingGraceOver = false; // leaves, and its grace period is over
  // A restored registry lacks it since then; it may be written again.
  std::optional<Instant> m_MissingSince;

  /// Whether it reports that it runs much slower than its accelerator kind.
  bool slow() const;

  /// Whether a requested report takes longer than that of a responsive engine:
  /// a reason to route waiting requests around it, but not yet to suspect it.
  bool reportOverdue(Instant Now) const;

  /// Whether it asked this host to send nothing for now.
  bool paused(Instant Now) const { return Now < m_PausedUntil; }

  /// Whether the limit that it named leaves room for a request of this router.
  bool admits(Instant Now) const { return Now >= m_AdmitsFrom; }

  /// Whether it holds layers in \p DataCentre according to the registry.
  bool servesIn(const DataCentreId &DataCentre) const {
    return m_Record.m_DataCentre == DataCentre && m_Record.m_Layers.m_End > 0 &&
           !m_Unregistered;
  }

  /// Whether layers may be assigned to it.
  bool usable() const {
    return !m_Suspect && !m_Superseded && !m_Record.m_Leaving;
  }

  /// Whether paths may use it: also for a grace period after it began to leave,
  /// while others load its layers, unless it already refuses.
  bool routable() const {
    return !m_Suspect && !m_Superseded && !m_Refusing &&
           (!m_Record.m_Leaving || !m_LeavingGraceOver);
  }
};

/// Endpoints by id. Every change that affects paths increments the revision.
///
/// \par Thread safety
/// None.
class Fleet {
public:
  /// Adds or updates the endpoint of a registry entry. A later start under the
  /// same id resets what was known. A later start at the same address
  /// supersedes the endpoint that had it, whose entry may remain for a while.
  void put(const EndpointRecord &Entry, Instant Now);

  /// The registry dropped \p Id. It is treated as leaving, because it may
  /// continue to serve for a while, and erased after that.
  void remove(const EndpointId &Id, Instant Now);

  /// Replaces the entire registry view; endpoints that are not listed are
  /// removed. Waits for entries of a restored registry go on: a snapshot does
  /// not show whether an entry was written since.
  void replaceAll(const std::vector<EndpointRecord> &Records, Instant Now);

  /// The registry was restored from an older copy, which lists \p Records. What
  /// is known of an endpoint's current start is newer than the copy and stays
  /// in use until its entry is written again, for a few seconds; an endpoint
  /// that the copy lacks is removed if it is not listed again by then.
  void restore(const std::vector<EndpointRecord> &Records, Instant Now);

  /// Expires grace periods, refusals, removed endpoints and the waits for
  /// entries of a restored registry. \pre Called several times a second.
  void onTick(Instant Now);

  /// Marks \p Id as suspect until `clearSuspicion`. \returns whether it was not
  /// suspect before.
  bool suspect(const EndpointId &Id, const std::string &Reason, Instant Now);

  /// Clears the suspicion: \p Id answered a probe. \returns whether it was
  /// suspect.
  bool clearSuspicion(const EndpointId &Id);

  /// What \p Id sent for a request was an answer, or none. A valid answer to a
  /// poll does not count: it may come from another part of the endpoint.
  /// \returns whether \p Id has given no valid one for several requests, so
  /// that it is suspect.
  bool onAnswered(const EndpointId &Id, bool IsValid);

  /// Stores the load that \p Id itself reported. Its layers are taken from the
  /// registry only, because reports lag behind it.
  void onReport(const EndpointId &Id, const EngineLoadReport &Load,
                Instant Now);

  /// Sequence number of the latest report; 0 before the first one.
  std::uint64_t latestReportSequence() const { return m_ReportCount; }

  /// A report was requested from \p Id, and the request has ended, with a
  /// report or without. \pre One request per endpoint at a time.
  void onReportRequested(const EndpointId &Id, Instant Now);
  void onReportRequestEnded(const EndpointId &Id);

  /// \p Id announced in an answer that it leaves. Overrides the registry until
  /// a later start, even if its entry is lost. \returns whether it had not
  /// announced that before.
  bool onAnnouncedLeaving(const EndpointId &Id, Instant Now);

  /// \p Id asked this host to send nothing until \p Until. A shorter pause
  /// never ends a longer one.
  void onPaused(const EndpointId &Id, Instant Until);

  /// \p Id gets the next request of this router at \p From; see
  /// `RequestLimits::nextAdmission`.
  void onAdmission(const EndpointId &Id, Instant From);

  /// \p Id refused a request because it is full: it gets none until \p Until.
  void onFull(const EndpointId &Id, Instant Until);

  /// \p Id refused its stage of a path although it is not full: it leaves,
  /// releases layers or has lost them, and the registry does not show that yet,
  /// or cannot. New paths avoid it with exponential backoff, or until its
  /// registry entry changes. \returns whether it was not avoided before.
  bool onStageRefused(const EndpointId &Id, Instant Now);

  /// \p Id confirmed that it holds \p Layers.
  void onLayersConfirmed(const EndpointId &Id, LayerRange Layers);

  /// Adjusts the requests of this router in flight at \p Id, and the memory
  /// that they use; the latter in tokens times layers.
  void adjustInFlight(const EndpointId &Id, int Delta);
  void adjustKvInFlight(const EndpointId &Id, double Delta);

  const FleetEndpoint *find(const EndpointId &Id) const;

  /// The endpoint at \p Address, the one started last if there are several, or
  /// null.
  const FleetEndpoint *findByAddress(const std::string &Address) const;

  const std::map<EndpointId, FleetEndpoint> &all() const { return m_Endpoints; }

  /// Incremented with each change of endpoints, layers or suspicion.
  std::uint64_t revision() const { return m_Revision; }

  /// Incremented with each change of an engine's layers, except to none.
  std::uint64_t layerChanges() const { return m_LayerChanges; }

private:
  // What is kept of an endpoint after it was erased.
  struct Departure {
    std::uint64_t m_StartedMs = 0;
    bool m_SaidLeaving = false; // in an answer or its entry
    Instant m_At{};
  };

  // An entry of a restored registry that contradicts what is known.
  struct HeldEntry {
    EndpointRecord m_Record;
    Instant m_Until{};
  };

  bool contradictsKnown(const EndpointRecord &Record) const;
  void applyHeldEntries(Instant Now);
  void removeMissing(Instant Now);
  // Marks an endpoint as leaving. \returns whether it was not leaving before.
  static bool markLeaving(FleetEndpoint &Endpoint, Instant Now);
  // Marks all endpoints at an address but the latest start as superseded.
  void resolveAddressOwner(const std::string &Address);

  std::map<EndpointId, FleetEndpoint> m_Endpoints;
  std::map<EndpointId, Departure> m_Departures; // of the last minutes
  std::map<EndpointId, HeldEntry> m_HeldEntries;
  std::uint64_t m_Revision = 1;
  std::uint64_t m_LayerChanges = 0;
  std::uint64_t m_ReportCount = 0; // received so far
};

} // namespace mimosadale::decide

#endif
