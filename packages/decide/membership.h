// Which routers live, and what spreads between them.
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
  Duration m_Period = std::chrono::milliseconds(700);
  Duration m_AckTimeout = std::chrono::milliseconds(200);
  unsigned m_Successors = 2; // routers that each one watches
  unsigned m_Contacts = 2;   // routers a data centre that ping another one
  bool m_ConfirmSuspicions = true; // ask second watchers before a death counts
  bool m_ExtendTimeouts = true;    // give a wrongly suspected router more time
  Duration m_DeadRetention = std::chrono::minutes(10);
};

/// A message to be sent.
struct OutgoingMessage {
  std::string m_Address;
  schema::PeerMessage m_Message;
};

using OutgoingMessages = std::vector<OutgoingMessage>;

/// Membership of the routers. Within a data centre the routers form a ring in
/// the order of their names, and each one pings its next successors; a router
/// that answers neither twice nor to second watchers is dead. Between data
/// centres a few contacts ping each other. News (a death, a leaving, a new
/// generation, an endpoint's state) goes at once to the routers at distances 1,
/// 2, 4, ... on the ring, so that all know after a logarithmic number of hops,
/// and also rides on the next pings. Only routers of its own data centre
/// declare a router dead; to others it is at most unreachable, since a cut
/// between two data centres says nothing about the routers behind it.
///
/// Watching a successor by polling, and giving a wrongly suspected router a
/// longer timeout, follow M. Larrea, S. Arévalo, A. Fernández, "Efficient
/// Algorithms to Implement Unreliable Failure Detectors in Partially
/// Synchronous Systems"; its way of passing the list of suspects around the
/// ring is not taken (docs/design/membership.md has the figures).
///
/// \par Thread safety
/// None; the router guards it with the mutex of rank Peers.
class Membership {
public:
  /// \pre \p Self names this router and says when it started.
  Membership(schema::PeerRecord Self, MembershipSettings Settings,
             std::vector<std::string> Seeds);

  /// Sends the pings that are due and draws conclusions from silence.
  /// \pre Called a few times a period.
  OutgoingMessages onTick(Instant Now);

  /// Takes a message that a router sent. \pre Its seal was checked.
  OutgoingMessages onMessage(const schema::PeerMessage &Message, Instant Now);

  /// This router adopted a generation. \returns the news to send.
  OutgoingMessages setGeneration(Generation Adopted);

  /// This router is leaving. \returns the news to send.
  OutgoingMessages leave();

  /// This router learned what a source says of an endpoint. \param Host the
  /// incarnation of its host, of what the host list says. \returns the news to
  /// send; none when it was known.
  OutgoingMessages setEndpointNote(const std::string &Name,
                                   schema::NoteKind Kind, bool Set,
                                   Incarnation Host = {});

  /// Notes about endpoints that others sent since the last call.
  std::vector<schema::EndpointNote> takeEndpointNotes();

  /// A living router with a greater generation than this one, if any.
  std::optional<schema::PeerRecord> peerWithNewerGeneration() const;

  /// The record of a router, dead ones included.
  std::optional<schema::PeerRecord> find(const PeerId &Name) const;

  /// All routers known, this one included.
  std::vector<schema::PeerRecord> records() const;

  /// Names of the living routers of this data centre, this one included.
  std::vector<std::string> aliveInDataCentre() const;

  /// Living routers of all data centres, this one included.
  std::size_t aliveCount() const;

  /// Whether a router of another data centre cannot be reached from here.
  bool unreachable(const PeerId &Name) const;

  /// Deaths declared by this router that turned out wrong.
  std::uint64_t falseSuspicions() const { return m_FalseSuspicions; }

private:
  struct Member {
    schema::PeerRecord m_Record;
    Duration m_Timeout{};
    std::optional<Instant> m_PingedAt; // a ping without an answer
    unsigned m_MissedAcks = 0;
    bool m_Unreachable = false; // from here; only for other data centres
    std::optional<Instant> m_GoneSince; // died, or unreachable, since
    bool m_DeclaredDeadHere = false;
    unsigned m_DigestMismatches = 0; // acks in a row with another digest
  };
  struct Update {
    schema::PeerRecord m_Record;
    std::optional<schema::EndpointNote> m_Endpoint;
    unsigned m_SendsLeft = 0;
  };
  struct PendingConfirm { // a CONFIRM being answered for another router
    std::string m_Requester;
    std::string m_Subject;
    Instant m_Until{};
  };

  bool isSelf(const std::string &Name) const;
  bool isLocal(const Member &Which) const;
  bool alive(const Member &Which) const;
  std::vector<std::string> ringAfterSelf(const std::string &Centre) const;
  const std::vector<std::string> &pingTargets();
  std::vector<std::string> computePingTargets() const;
  void invalidateCaches();
  std::vector<std::string> contacts(const std::string &From,
                                    const std::string &To) const;
  schema::PeerMessage message(schema::PeerMessage::Kind Kind);
  schema::PeerMessage fullMessage(schema::PeerMessage::Kind Kind);
  void attachUpdates(schema::PeerMessage &To);
  void ping(Member &Target, Instant Now, OutgoingMessages &Out);
  void pingSeeds(OutgoingMessages &Out);
  void checkTimeouts(Instant Now, OutgoingMessages &Out);
  void askConfirmation(const Member &Subject, OutgoingMessages &Out);
  void clearUnreachable(const std::string &Centre);
  void sendNewerRecords(const schema::PeerMessage &Message,
                        OutgoingMessages &Out);
  void onAck(const schema::PeerMessage &Message, OutgoingMessages &Out);
  void onConfirmed(const std::string &Subject);
  void declareDead(Member &Subject, Instant Now, OutgoingMessages &Out);
  void onSender(const schema::PeerRecord &Sender, Instant Now,
                OutgoingMessages &Out);
  bool merge(const schema::PeerRecord &Record, Instant Now, bool Spread);
  void onRevived(Member &Which, bool SameProcess);
  bool mergeNote(const schema::EndpointNote &Note, bool Spread);
  void refute(const schema::PeerRecord &Claim);
  void addUpdate(const schema::PeerRecord &Record);
  void addNote(const schema::EndpointNote &Note);
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
  std::map<std::string, schema::EndpointNote> m_Notes; // by source and name
  std::vector<schema::EndpointNote> m_ReceivedNotes;
  std::vector<PendingConfirm> m_PendingConfirms;
  // Computed anew after a change of the members only.
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
