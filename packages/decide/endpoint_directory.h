// The declared endpoints with their health, and the path choosers over them.
#ifndef MIMOSADALE_DECIDE_ENDPOINT_DIRECTORY_H
#define MIMOSADALE_DECIDE_ENDPOINT_DIRECTORY_H

#include "base/id.h"
#include "decide/endpoint_health.h"
#include "decide/host_list.h"
#include "decide/path_chooser.h"
#include "schema/generated/declaration.pb.h"
#include "schema/generated/peer.pb.h"
#include "schema/generated/rows.pb.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::decide {

/// A change of one endpoint to be sent to the other routers.
struct EndpointChange {
  EndpointId m_Endpoint;
  schema::NoteKind m_Kind = schema::NOTE_SUSPECT;
  bool m_Set = false;
  Incarnation m_Incarnation{}; // of its host; for NOTE_HOST_LIST only
};

/// One endpoint in the output of `status`.
struct EndpointStatus {
  EndpointId m_Endpoint;
  EndpointHealth::State m_State = EndpointHealth::State::Usable;
  bool m_Leaving = false;
  unsigned m_InFlight = 0;
};

/// The endpoints of the adopted declaration. The path chooser of a model
/// version is recomputed only after one of its endpoints has become usable or
/// unusable, or after a new declaration.
///
/// \par Thread safety
/// None; the router guards it with the mutex of rank Endpoints.
class EndpointDirectory {
public:
  /// \param LocalDataCentre the data centre of this router. Service endpoints
  /// of other data centres are used only when it has no usable one.
  explicit EndpointDirectory(DataCentreId LocalDataCentre)
      : m_LocalDataCentre(std::move(LocalDataCentre)) {}

  /// Replaces the declaration. The health of endpoints that are still declared
  /// under the same name and address is kept.
  void adopt(const schema::Declaration &Declared);

  /// The address of an endpoint; empty if it is not declared.
  std::string address(const EndpointId &Endpoint) const;

  /// The path chooser of a model version, or null if it is not declared.
  std::shared_ptr<const PathChooser> chooser(const ModelRef &Model);

  /// The load of an engine, for path choice.
  EngineLoad load(const EndpointId &Endpoint, Instant Now) const;

  /// Draws two usable endpoints of a service outside \p Avoid at random and
  /// returns the one with fewer calls in flight.
  std::optional<EndpointId> chooseServiceEndpoint(const ServiceId &Service,
                                                  const EndpointSet &Avoid,
                                                  Random &Rng) const;

  /// Health events; see `EndpointHealth`. Unknown endpoints are ignored.
  void onCallStarted(const EndpointId &Endpoint);
  void onReply(const EndpointId &Endpoint, std::uint64_t Positions,
               Duration Latency, const schema::Load *Load, Instant Now);
  void onFault(const EndpointId &Endpoint, bool ConnectFailed, Instant Now);
  void onProbe(const EndpointId &Endpoint, bool Answered,
               const schema::Load *Load, Instant Now);

  /// Applies a note about an endpoint from another router.
  void onNote(const schema::EndpointNote &Note, Instant Now);

  /// Replaces the set of endpoints that operators drain. A subject is an
  /// endpoint, or a host and thereby all endpoints on it.
  void replaceDrained(const std::vector<std::string> &Subjects);

  /// Merges a copy of the platform's list of hosts; see `HostList`.
  void onHostList(const std::vector<schema::HostEntry> &List);

  /// The reply timeout of a call; see `EndpointHealth::replyTimeout`. \p Max
  /// for an unknown endpoint.
  Duration replyTimeout(const EndpointId &Endpoint, std::uint64_t Positions,
                        Duration Min, Duration Max) const;

  /// Endpoints to probe now: suspect and dead ones whose probe is due, and
  /// those in state Usable that have been idle for \p IdleTime and that this
  /// router watches.
  std::vector<EndpointId>
  takeDueProbes(Duration IdleTime, Instant Now,
                const std::function<bool(const EndpointId &)> &Watches);

  /// The changes since the last call, to be sent to the other routers.
  std::vector<EndpointChange> takeChanges();

  std::vector<EndpointStatus> status() const;
  bool isEngine(const EndpointId &Endpoint) const;

private:
  struct NoteState {
    bool m_Set = false;
    Incarnation m_Incarnation{};
  };
  struct EndpointEntry {
    schema::Endpoint m_Declared;
    EndpointHealth m_Health;
    bool m_WasUsable = true;
    // As last sent to or received from other routers.
    std::map<schema::NoteKind, NoteState> m_PublishedNotes;
  };

  EndpointEntry *find(const EndpointId &Endpoint);
  const EndpointEntry *find(const EndpointId &Endpoint) const;
  void onEntryChanged(const EndpointId &Endpoint, EndpointEntry &Entry);
  void publishNote(const EndpointId &Endpoint, EndpointEntry &Entry,
                   schema::NoteKind Kind, NoteState State);
  bool isLocal(const schema::Endpoint &Declared) const;

  DataCentreId m_LocalDataCentre;
  HostList m_Hosts;
  std::map<EndpointId, EndpointEntry> m_Entries;
  std::map<ModelRef, std::uint32_t> m_Layers;
  std::map<ModelRef, std::shared_ptr<const PathChooser>> m_Choosers;
  std::map<ServiceId, std::vector<EndpointId>> m_Services;
  std::vector<EndpointChange> m_Changes;
};

} // namespace mimosadale::decide

#endif
