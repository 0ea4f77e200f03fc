// All endpoints that a router knows, with what it believes of each.
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

/// A change of one endpoint that other routers should hear of.
struct EndpointChange {
  EndpointId m_Endpoint;
  schema::NoteKind m_Kind = schema::NOTE_SUSPECT;
  bool m_Set = false;
  Incarnation m_Incarnation{}; // of its host, where the host list says so
};

/// One endpoint as `status` shows it.
struct EndpointStatus {
  EndpointId m_Endpoint;
  EndpointHealth::State m_State = EndpointHealth::State::Usable;
  bool m_Leaving = false;
  unsigned m_InFlight = 0;
};

/// The endpoints of the adopted declaration. The path choosers are computed
/// anew only when an endpoint becomes usable or stops being so.
///
/// \par Thread safety
/// None; the router guards it with the mutex of rank Endpoints.
class EndpointDirectory {
public:
  /// \param Here endpoints of other data centres are used only when this one
  /// has none that fit.
  explicit EndpointDirectory(DataCentreId Here) : m_Here(std::move(Here)) {}

  /// Takes over a declaration; what is known of endpoints that stay is kept.
  void adopt(const schema::Declaration &Declared);

  /// The address of an endpoint; empty when it is not declared.
  std::string address(const EndpointId &Endpoint) const;

  /// The path chooser of a model version, or null when nothing serves it.
  std::shared_ptr<const PathChooser> chooser(const ModelRef &Model);

  /// Loads of the engines now, for path choice.
  EngineLoad load(const EndpointId &Endpoint, Instant Now) const;

  /// The less loaded of two usable endpoints of a service drawn at random.
  std::optional<EndpointId> chooseServiceEndpoint(const ServiceId &Service,
                                                  const EndpointSet &Avoid,
                                                  Random &Rng) const;

  /// Health events; see `EndpointHealth`. Unknown endpoints are passed over.
  void onCallStarted(const EndpointId &Endpoint);
  void onReply(const EndpointId &Endpoint, std::uint64_t Positions,
               Duration Latency, const schema::Load *Load, Instant Now);
  void onFault(const EndpointId &Endpoint, bool ConnectFailed, Instant Now);
  void onProbe(const EndpointId &Endpoint, bool Answered,
               const schema::Load *Load, Instant Now);

  /// Takes what another router heard of an endpoint.
  void onNote(const schema::EndpointNote &Note, Instant Now);

  /// Replaces everything that operators said: the subjects named, endpoints or
  /// hosts and so all endpoints on them, leave; all others do not.
  void replaceDrained(const std::vector<std::string> &Subjects);

  /// Takes a copy of the platform's list of hosts; see `HostList`.
  void onHostList(const std::vector<schema::HostEntry> &List);

  /// The bound of silence for a call; see `EndpointHealth::replyTimeout`.
  Duration replyTimeout(const EndpointId &Endpoint, std::uint64_t Positions,
                        Duration Least, Duration Most) const;

  /// Endpoints to probe now: those not usable, and those of which nothing was
  /// heard for \p Quiet while this router watches them.
  std::vector<EndpointId>
  takeDueProbes(Duration Quiet, Instant Now,
                const std::function<bool(const EndpointId &)> &Watches);

  /// Changes since the last call, for the other routers.
  std::vector<EndpointChange> takeChanges();

  std::vector<EndpointStatus> status() const;
  bool isEngine(const EndpointId &Endpoint) const;

private:
  struct NoteState {
    bool m_Set = false;
    Incarnation m_Incarnation{};
  };
  struct Entry {
    schema::Endpoint m_Declared;
    EndpointHealth m_Health;
    bool m_WasUsable = true;
    std::map<schema::NoteKind, NoteState>
        m_PublishedNotes; // as the other routers know it
  };

  Entry *find(const EndpointId &Endpoint);
  const Entry *find(const EndpointId &Endpoint) const;
  void onEntryChanged(const EndpointId &Endpoint, Entry &Changed);
  void publishNote(const EndpointId &Endpoint, Entry &Changed,
                   schema::NoteKind Kind, NoteState Now);
  bool isLocal(const schema::Endpoint &Declared) const;

  DataCentreId m_Here;
  HostList m_Hosts;
  std::map<EndpointId, Entry> m_Entries;
  std::map<ModelRef, std::uint32_t> m_Layers;
  std::map<ModelRef, std::shared_ptr<const PathChooser>> m_Choosers;
  std::map<ServiceId, std::vector<EndpointId>> m_Services;
  std::vector<EndpointChange> m_Changes;
};

} // namespace mimosadale::decide

#endif
