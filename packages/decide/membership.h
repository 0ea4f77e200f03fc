// Failure detection and gossip between the routers.
#ifndef MIMOSADALE_DECIDE_MEMBERSHIP_H
#define MIMOSADALE_DECIDE_MEMBERSHIP_H

#include "base/id.h"
#include "base/units.h"
#include "schema/generated/peer.pb.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::decide {

struct MembershipSettings {
  Duration m_Period = std::chrono::milliseconds(700); // between ping rounds
  Duration m_AckTimeout = std::chrono::milliseconds(200);
  unsigned m_Successors = 2;       // ring successors that each router pings
  unsigned m_Contacts = 2;         // routers per data centre that ping another
  bool m_ConfirmSuspicions = true; // ask other routers before declaring a death
  bool m_ExtendTimeouts = true;    // after a false suspicion of the router
  Duration m_DeadRetention = std::chrono::minutes(10);
};

/// A message to be sent.
struct OutgoingMessage {
  std::string m_Address;
  schema::PeerMessage m_Message;
};

using OutgoingMessages = std::vector<OutgoingMessage>;

/// Membership of the routers. Within a data centre the routers form a ring in
/// the order of their names, and each one pings its next successors. A router
/// that answers neither two pings nor the pings of the routers asked to confirm
/// the suspicion is declared dead. Between data centres a few contacts ping
/// each other. Updates (a death, a router leaving, a new generation, a change
/// of an endpoint) are sent at once to the routers at distances 1, 2, 4, ... on
/// the ring, so that all routers have them after a logarithmic number of hops,
/// and are also piggybacked on the next pings. A router is declared dead only
/// by routers of its own data centre; the others at most consider it
/// unreachable, since a network partition between two data centres does not
/// tell whether the routers behind it are running.
///
/// Polling a successor, and giving a falsely suspected router a longer timeout,
/// follow M. Larrea, S. Arévalo, A. Fernández, "Efficient Algorithms to
/// Implement Unreliable Failure Detectors in Partially Synchronous Systems".
/// The propagation of the list of suspects around the ring, as in that paper,
/// is not used (docs/design/membership.md has the figures).
///
/// \par Thread safety
/// None; the router guards it with the mutex of rank Peers.
class Membership {
public:
  /// \pre \p Self holds the name and the start time of this router.
  Membership(schema::PeerRecord Self, MembershipSettings Settings,
             std::vector<std::string> Seeds);

  /// Sends the pings that are due and handles missing acks.
  /// \pre Called a few times per period.
  OutgoingMessages onTick(Instant Now);

  /// Handles a message of another router. \pre Its seal has been verified.
  OutgoingMessages onMessage(const schema::PeerMessage &Message, Instant Now);

  /// This router adopted a generation. \returns the updates to send.
  OutgoingMessages setGeneration(Generation Adopted);

  /// This router is leaving. \returns the updates to send.
  OutgoingMessages leave();

  /// Records the state of an endpoint according to the source \p Kind.
  /// \param Host the incarnation of its host, for the host list.
  /// \returns the updates to send; none if the state is not new.
  OutgoingMessages setEndpointNote(const std::string &Name,
                                   schema::NoteKind Kind, bool Set,
                                   Incarnation Host = {});

  /// Endpoint notes received from other routers since the last call.
  std::vector<schema::EndpointNote> takeEndpointNotes();

  /// The living router with the greatest generation, if it is greater than that
  /// of this router.
  std::optional<schema::PeerRecord> peerWithNewerGeneration() const;

  /// The record of a router, dead ones included.
  std::optional<schema::PeerRecord> find(const PeerId &Name) const;

  /// All known routers, this one included.
  std::vector<schema::PeerRecord> records() const;

  /// Names of the living routers of this data centre, this one included.
  std::vector<std::string> aliveInDataCentre() const;

  /// Number of living routers of all data centres, this one included.
  std::size_t aliveCount() const;

  /// Whether a router of another data centre cannot be reached from here.
  bool unreachable(const PeerId &Name) const;

  /// Number of deaths declared by this router that turned out to be false.
  std::uint64_t falseSuspicions() const { return m_FalseSuspicions; }

private:
  struct Member {
    schema::PeerRecord m_Record;
    Duration m_Timeout{};
    std::optional<Instant> m_PingedAt; // first ping without an ack
    unsigned m_MissedAcks = 0;
    bool m_Unreachable = false; // from here; for other data centres only
    std::optional<Instant> m_GoneSince; // since when dead or unreachable
    bool m_DeclaredDeadHere = false;
    unsigned m_DigestMismatches = 0; // consecutive acks with another digest
  };
  struct Update {
    schema::PeerRecord m_Record;
    std::optional<schema::EndpointNote> m_Endpoint;
    unsigned m_SendsLeft = 0;
  };
  struct PendingConfirm { // a CONFIRM request of another router
    std::string m_Requester;
    std::string m_Subject;
    Instant m_Until{};
  };

  bool isSelf(const std::string &Name) const;
  bool isLocal(const Member &Peer) const;
  bool alive(const Member &Peer) const;
  std::vector<std::string> ringAfterSelf(const std::string &DataCentre) const;
  const std::vector<std::string> &pingTargets();
  std::vector<std::string> computePingTargets() const;
  void invalidateCaches();
  std::vector<std::string> contacts(const std::string &From,
                                    const std::string &To) const;
  schema::PeerMessage message(schema::PeerMessage::Kind Kind);
  schema::PeerMessage fullMessage(schema::PeerMessage::Kind Kind);
  void attachUpdates(schema::PeerMessage &Message);
  void ping(Member &Target, Instant Now, OutgoingMessages &Out);
  void pingSeeds(OutgoingMessages &Out);
  void checkTimeouts(Instant Now, OutgoingMessages &Out);
  void askConfirmation(const Member &Subject, OutgoingMessages &Out);
  void clearUnreachable(const std::string &DataCentre);
  void sendNewerRecords(const schema::PeerMessage &Message,
                        OutgoingMessages &Out);
  void onAck(const schema::PeerMessage &Message, OutgoingMessages &Out);
  void onConfirmed(const std::string &Subject);
  void declareDead(Member &Subject, Instant Now, OutgoingMessages &Out);
  void onSender(const schema::PeerRecord &Sender, Instant Now,
                OutgoingMessages &Out);
  bool merge(const schema::PeerRecord &Record, Instant Now, bool Propagate);
  void onRevived(Member &Peer, bool SameProcess);
  bool mergeNote(const schema::EndpointNote &Note, bool Propagate);
  void refute(const schema::PeerRecord &Claim);
  void addUpdate(const schema::PeerRecord &Record);
  void addNoteUpdate(const schema::EndpointNote &Note);
  void pushUpdates(OutgoingMessages &Out);
  void sendFullState(const std::string &Address, OutgoingMessages &Out);
  void onConfirm(const schema::PeerMessage &Message, Instant Now,
                 OutgoingMessages &Out);
  void forwardConfirmations(const std::string &Alive, OutgoingMessages &Out);
  void evictGone(Instant Now);
  std::uint64_t digest();
  unsigned sendsPerUpdate() const;

  schema::PeerRecord m_Self;
  MembershipSettings m_Settings;
  std::vector<std::string> m_Seeds;
  std::map<std::string, Member> m_Members;             // without this router
  std::map<std::string, Update> m_Updates;             // by subject
  std::map<std::string, schema::EndpointNote> m_Notes; // by source and endpoint
  std::vector<schema::EndpointNote> m_ReceivedNotes;
  std::vector<PendingConfirm> m_PendingConfirms;
  // Cached until the members change.
  std::vector<std::string> m_PingTargets;
  bool m_PingTargetsStale = true;
  bool m_AnyUnreachable = false;
  std::optional<std::uint64_t> m_Digest;
  std::uint64_t m_Sequence = 0;
  Instant m_NextRoundAt{};
  std::uint64_t m_Rounds = 0;
  std::uint64_t m_FalseSuspicions = 0;
};

} // namespace mimosadale::decide

#endif
