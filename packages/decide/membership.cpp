#include "decide/membership.h"

#include "decide/rendezvous.h"

#include <algorithm>
#include <bit>
#include <set>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mimosadale::decide {

namespace {

using schema::PeerMessage;

// Consecutive pings without an ack before other routers are asked to confirm.
constexpr unsigned MissesBeforeConfirm = 2;

// Routers asked to confirm one suspicion.
constexpr unsigned ConfirmingRouters = 2;

// Records and notes per message, so that it fits into one datagram.
constexpr int MaxPiggybacked = 8;

// Consecutive acks with another digest before the full state is exchanged.
// Updates in transit cause one or two mismatches.
constexpr unsigned MismatchesBeforeSync = 3;

// Ping rounds per ping of another data centre: a partition between data centres
// declares no router dead, so it may be detected more slowly.
constexpr std::uint64_t RoundsPerRemotePing = 2;

// Ping rounds per ping of the seeds that belong to no living router.
constexpr std::uint64_t RoundsPerSeedPing = 10;

// Factor applied once to the timeout of a falsely suspected router. Three such
// timeouts and a period stay below the 2 s within which a death must be known.
constexpr int TimeoutFactor = 2;

// Key of a note: its source and its endpoint.
std::string noteKey(const std::string &Name, schema::NoteKind Kind) {
  return "note " + std::to_string(Kind) + " " + Name;
}

// Whether record A replaces record B of the same router: a later incarnation
// does, and within an incarnation the state closer to dead.
bool supersedes(const schema::PeerRecord &A, const schema::PeerRecord &B) {
  if (A.incarnation() != B.incarnation())
    return A.incarnation() > B.incarnation();
  return A.state() > B.state();
}

} // namespace

Membership::Membership(schema::PeerRecord Self, MembershipSettings Settings,
                       std::vector<std::string> Seeds)
    : m_Self(std::move(Self)), m_Settings(Settings), m_Seeds(std::move(Seeds)) {
  std::erase(m_Seeds, m_Self.address());
}

bool Membership::isSelf(const std::string &Name) const {
  return Name == m_Self.name();
}

bool Membership::isLocal(const Member &Peer) const {
  return Peer.m_Record.data_centre() == m_Self.data_centre();
}

bool Membership::alive(const Member &Peer) const {
  return Peer.m_Record.state() != schema::PEER_DEAD;
}

// Living routers of a data centre in ring order, starting after this one.
std::vector<std::string>
Membership::ringAfterSelf(const std::string &DataCentre) const {
  std::vector<std::string> Ring;
  for (const auto &[Name, Peer] : m_Members)
    if (alive(Peer) && Peer.m_Record.data_centre() == DataCentre)
      Ring.push_back(Name);
  const auto FirstAfterSelf =
      std::upper_bound(Ring.begin(), Ring.end(), m_Self.name());
  std::rotate(Ring.begin(), FirstAfterSelf, Ring.end());
  return Ring;
}

std::vector<std::string> Membership::contacts(const std::string &From,
                                              const std::string &To) const {
  std::vector<std::string> Reachable;
  std::vector<std::string> Unreachable;
  if (m_Self.data_centre() == From)
    Reachable.push_back(m_Self.name());
  for (const auto &[Name, Peer] : m_Members)
    if (alive(Peer) && Peer.m_Record.data_centre() == From)
      (Peer.m_Unreachable ? Unreachable : Reachable).push_back(Name);
  if (Reachable.empty())
    Reachable = std::move(Unreachable);
  return chooseMembers(std::move(Reachable), From + " " + To,
                       m_Settings.m_Contacts);
}

// Routers that this one pings: its successors, and if it is a contact of its
// data centre, its counterparts in the other ones.
const std::vector<std::string> &Membership::pingTargets() {
  if (std::exchange(m_PingTargetsStale, false))
    m_PingTargets = computePingTargets();
  return m_PingTargets;
}

std::vector<std::string> Membership::computePingTargets() const {
  std::vector<std::string> Targets = ringAfterSelf(m_Self.data_centre());
  Targets.resize(
      std::min<std::size_t>(m_Settings.m_Successors, Targets.size()));
  std::set<std::string> OtherDataCentres;
  for (const auto &[Name, Peer] : m_Members)
    if (alive(Peer) && !isLocal(Peer))
      OtherDataCentres.insert(Peer.m_Record.data_centre());
  for (const std::string &DataCentre : OtherDataCentres) {
    const auto OwnContacts = contacts(m_Self.data_centre(), DataCentre);
    const auto RemoteContacts = contacts(DataCentre, m_Self.data_centre());
    const auto SelfPosition =
        std::find(OwnContacts.begin(), OwnContacts.end(), m_Self.name());
    if (SelfPosition != OwnContacts.end() && !RemoteContacts.empty())
      Targets.push_back(RemoteContacts[static_cast<std::size_t>(
                                           SelfPosition - OwnContacts.begin()) %
                                       RemoteContacts.size()]);
  }
  return Targets;
}

// To be called after each change that affects the ping targets or the digest.
void Membership::invalidateCaches() {
  m_PingTargetsStale = true;
  m_Digest.reset();
}

// Hash over the records of all living routers, independent of their order.
std::uint64_t Membership::digest() {
  if (m_Digest)
    return *m_Digest;
  std::uint64_t Digest = 0;
  const auto addRecord = [&](const schema::PeerRecord &Record) {
    if (Record.state() == schema::PEER_DEAD)
      return;
    const std::string Text = Record.name() + " " +
                             std::to_string(Record.incarnation()) + " " +
                             std::to_string(Record.state());
    Digest ^= XXH3_64bits(Text.data(), Text.size());
  };
  addRecord(m_Self);
  for (const auto &[Name, Peer] : m_Members)
    addRecord(Peer.m_Record);
  m_Digest = Digest;
  return Digest;
}

PeerMessage Membership::fullMessage(PeerMessage::Kind Kind) {
  PeerMessage Message;
  Message.set_kind(Kind);
  *Message.mutable_sender() = m_Self;
  Message.set_sequence(++m_Sequence);
  return Message;
}

// A message without the parts of the sender's record that stay the same while
// it runs; a receiver that lacks them asks for them.
PeerMessage Membership::message(PeerMessage::Kind Kind) {
  PeerMessage Message = fullMessage(Kind);
  Message.mutable_sender()->clear_data_centre();
  Message.mutable_sender()->clear_operators_address();
  return Message;
}

unsigned Membership::sendsPerUpdate() const {
  return 2 + std::bit_width(m_Members.size() + 1);
}

void Membership::attachUpdates(PeerMessage &Message) {
  int Attached = 0;
  for (auto It = m_Updates.begin();
       It != m_Updates.end() && Attached < MaxPiggybacked; ++Attached) {
    Update &Next = It->second;
    if (Next.m_Endpoint)
      *Message.add_endpoints() = *Next.m_Endpoint;
    else
      *Message.add_records() = Next.m_Record;
    It = --Next.m_SendsLeft == 0 ? m_Updates.erase(It) : std::next(It);
  }
}

void Membership::addUpdate(const schema::PeerRecord &Record) {
  m_Updates[Record.name()] = {Record, std::nullopt, sendsPerUpdate()};
}

void Membership::addNoteUpdate(const schema::EndpointNote &Note) {
  m_Updates[noteKey(Note.name(), Note.kind())] = {{}, Note, sendsPerUpdate()};
}

// Sends the updates at once to the routers at distances 1, 2, 4, ... on the
// ring and, from a contact, to the other data centres.
void Membership::pushUpdates(OutgoingMessages &Out) {
  std::vector<std::string> Targets;
  const auto Ring = ringAfterSelf(m_Self.data_centre());
  for (std::size_t Distance = 1; Distance <= Ring.size(); Distance *= 2)
    Targets.push_back(Ring[Distance - 1]);
  // Uses the ping targets of the last round: updates come in bursts, and
  // recomputing the targets for each would cost more than sending it.
  for (const std::string &Name : m_PingTargets)
    if (m_Members.contains(Name) && !isLocal(m_Members.at(Name)))
      Targets.push_back(Name);
  for (const std::string &Name : Targets) {
    PeerMessage Message = message(PeerMessage::NEWS);
    attachUpdates(Message);
    Out.push_back({m_Members.at(Name).m_Record.address(), std::move(Message)});
  }
}

void Membership::ping(Member &Target, Instant Now, OutgoingMessages &Out) {
  PeerMessage Message = message(PeerMessage::PING);
  attachUpdates(Message);
  if (!Target.m_PingedAt)
    Target.m_PingedAt = Now;
  Out.push_back({Target.m_Record.address(), std::move(Message)});
}

void Membership::pingSeeds(OutgoingMessages &Out) {
  std::set<std::string> LivingAddresses;
  for (const auto &[Name, Peer] : m_Members)
    if (alive(Peer))
      LivingAddresses.insert(Peer.m_Record.address());
  for (const std::string &Seed : m_Seeds) {
    if (LivingAddresses.contains(Seed))
      continue;
    PeerMessage Message = fullMessage(PeerMessage::PING);
    Message.set_want_all(true);
    Out.push_back({Seed, std::move(Message)});
  }
}

OutgoingMessages Membership::onTick(Instant Now) {
  OutgoingMessages Out;
  checkTimeouts(Now, Out);
  std::erase_if(m_PendingConfirms, [&](const PendingConfirm &Pending) {
    return Now >= Pending.m_Until;
  });
  if (Now < m_NextRoundAt)
    return Out;
  m_NextRoundAt = Now + m_Settings.m_Period;
  const bool RemoteRound = m_Rounds % RoundsPerRemotePing == 0;
  for (const std::string &Name : pingTargets()) {
    Member &Target = m_Members.at(Name);
    if (isLocal(Target) || RemoteRound)
      ping(Target, Now, Out);
  }
  if (m_Rounds++ % RoundsPerSeedPing == 0 || m_Members.empty())
    pingSeeds(Out);
  evictGone(Now);
  return Out;
}

void Membership::checkTimeouts(Instant Now, OutgoingMessages &Out) {
  for (auto &[Name, Peer] : m_Members) {
    if (!alive(Peer) || !Peer.m_PingedAt)
      continue;
    const unsigned TimeoutsElapsed = Peer.m_MissedAcks + 1;
    if (Now - *Peer.m_PingedAt <
        Peer.m_Timeout * static_cast<int>(TimeoutsElapsed))
      continue;
    ++Peer.m_MissedAcks;
    if (Peer.m_MissedAcks < MissesBeforeConfirm) {
      ping(Peer, Now, Out);
    } else if (!isLocal(Peer)) {
      Peer.m_Unreachable = true;
      m_AnyUnreachable = true;
      invalidateCaches();
      Peer.m_GoneSince = Peer.m_GoneSince.value_or(Now);
      Peer.m_PingedAt.reset();
      Peer.m_MissedAcks = 0;
    } else if (Peer.m_MissedAcks == MissesBeforeConfirm &&
               m_Settings.m_ConfirmSuspicions) {
      askConfirmation(Peer, Out);
      ping(Peer, Now, Out);
    } else {
      declareDead(Peer, Now, Out);
    }
  }
}

// Asks other routers of the subject's data centre, which may reach it over
// another network path.
void Membership::askConfirmation(const Member &Subject, OutgoingMessages &Out) {
  std::vector<std::string> Candidates;
  for (const auto &[Name, Peer] : m_Members)
    if (alive(Peer) && Name != Subject.m_Record.name() &&
        Peer.m_MissedAcks == 0 &&
        Peer.m_Record.data_centre() == Subject.m_Record.data_centre())
      Candidates.push_back(Name);
  for (const std::string &Name : chooseMembers(
           std::move(Candidates), Subject.m_Record.name(), ConfirmingRouters)) {
    PeerMessage Request = message(PeerMessage::CONFIRM);
    Request.set_subject(Subject.m_Record.name());
    Out.push_back({m_Members.at(Name).m_Record.address(), std::move(Request)});
  }
}

void Membership::declareDead(Member &Subject, Instant Now,
                             OutgoingMessages &Out) {
  Subject.m_Record.set_state(schema::PEER_DEAD);
  invalidateCaches();
  Subject.m_GoneSince = Now;
  Subject.m_DeclaredDeadHere = true;
  Subject.m_PingedAt.reset();
  Subject.m_MissedAcks = 0;
  addUpdate(Subject.m_Record);
  pushUpdates(Out);
}

// Any message from a router proves that it is alive.
void Membership::onSender(const schema::PeerRecord &Sender, Instant Now,
                          OutgoingMessages &Out) {
  merge(Sender, Now, true);
  const auto It = m_Members.find(Sender.name());
  if (It == m_Members.end()) {
    // The message had no full record: ask for it. Asking for the full state
    // would flood a fleet whose routers all start at the same time.
    PeerMessage Request = fullMessage(PeerMessage::PING);
    Request.set_want_record(true);
    Out.push_back({Sender.address(), std::move(Request)});
    return;
  }
  Member &Peer = It->second;
  Peer.m_PingedAt.reset();
  Peer.m_MissedAcks = 0;
  clearUnreachable(Peer.m_Record.data_centre());
  Peer.m_Record.set_generation(
      std::max(Peer.m_Record.generation(), Sender.generation()));
  if (alive(Peer)) {
    Peer.m_GoneSince.reset();
    return;
  }
  // It does not know that it was declared dead: send it its record, so that it
  // refutes that under a new incarnation.
  PeerMessage Correction = message(PeerMessage::NEWS);
  *Correction.add_records() = Peer.m_Record;
  Out.push_back({Sender.address(), std::move(Correction)});
}

// A message from a router of the data centre shows that the network path works:
// its unreachable routers are pinged again. If one of them is dead, the other
// routers of that data centre report it.
void Membership::clearUnreachable(const std::string &DataCentre) {
  if (!std::exchange(m_AnyUnreachable, false))
    return;
  for (auto &[Name, Peer] : m_Members) {
    if (!Peer.m_Unreachable)
      continue;
    if (Peer.m_Record.data_centre() != DataCentre) {
      m_AnyUnreachable = true;
      continue;
    }
    Peer.m_Unreachable = false;
    Peer.m_GoneSince.reset();
    invalidateCaches();
  }
}

// Answers outdated records of a message with the newer ones. Without this, a
// death declared on one side of a healed partition would never reach the side
// that can refute it.
void Membership::sendNewerRecords(const PeerMessage &Message,
                                  OutgoingMessages &Out) {
  PeerMessage Correction = message(PeerMessage::NEWS);
  for (const schema::PeerRecord &Record : Message.records()) {
    const auto It = m_Members.find(Record.name());
    if (It != m_Members.end() && supersedes(It->second.m_Record, Record))
      *Correction.add_records() = It->second.m_Record;
  }
  if (Correction.records_size() > 0)
    Out.push_back({Message.sender().address(), std::move(Correction)});
}

void Membership::refute(const schema::PeerRecord &Claim) {
  if (Claim.incarnation() < m_Self.incarnation() ||
      Claim.state() <= m_Self.state())
    return;
  m_Self.set_incarnation(Claim.incarnation() + 1);
  invalidateCaches();
  addUpdate(m_Self);
}

// Adopts a record that supersedes the known one. \returns whether there are
// updates to push. Records received in bulk are not propagated, as the other
// routers have them already.
bool Membership::merge(const schema::PeerRecord &Record, Instant Now,
                       bool Propagate) {
  if (isSelf(Record.name())) {
    const std::uint64_t Before = m_Self.incarnation();
    refute(Record);
    return m_Self.incarnation() != Before;
  }
  const auto It = m_Members.find(Record.name());
  if (It == m_Members.end()) {
    if (Record.state() == schema::PEER_DEAD || Record.data_centre().empty())
      return false;
    invalidateCaches();
    Member &Added = m_Members[Record.name()];
    Added.m_Record = Record;
    Added.m_Timeout = m_Settings.m_AckTimeout;
    if (Propagate)
      addUpdate(Record);
    return Propagate;
  }
  Member &Peer = It->second;
  if (!supersedes(Record, Peer.m_Record))
    return false;
  invalidateCaches();
  const bool WasAlive = alive(Peer);
  const schema::PeerRecord Before = Peer.m_Record;
  const bool SameProcess = Before.started() == Record.started();
  Peer.m_Record.MergeFrom(Record);
  Peer.m_Record.set_state(Record.state());
  Peer.m_Record.set_generation(
      SameProcess ? std::max(Before.generation(), Record.generation())
                  : Record.generation());
  Peer.m_PingedAt.reset();
  Peer.m_MissedAcks = 0;
  if (!alive(Peer))
    Peer.m_GoneSince = Now;
  else if (!WasAlive)
    onRevived(Peer, SameProcess);
  if (Propagate)
    addUpdate(Peer.m_Record);
  return Propagate;
}

// A router that was declared dead is alive: a false suspicion, unless it was
// restarted.
void Membership::onRevived(Member &Peer, bool SameProcess) {
  Peer.m_GoneSince.reset();
  const bool DeclaredDeadHere = std::exchange(Peer.m_DeclaredDeadHere, false);
  if (!SameProcess || !DeclaredDeadHere)
    return;
  ++m_FalseSuspicions;
  if (m_Settings.m_ExtendTimeouts)
    Peer.m_Timeout = m_Settings.m_AckTimeout * TimeoutFactor;
}

bool Membership::mergeNote(const schema::EndpointNote &Note, bool Propagate) {
  schema::EndpointNote &Current = m_Notes[noteKey(Note.name(), Note.kind())];
  if (std::pair(Note.incarnation(), Note.version()) <=
      std::pair(Current.incarnation(), Current.version()))
    return false;
  Current = Note;
  m_ReceivedNotes.push_back(Note);
  if (Propagate)
    addNoteUpdate(Note);
  return Propagate;
}

// Handles a request to confirm a suspicion: pings the subject, whose ack is
// reported to the requester.
void Membership::onConfirm(const PeerMessage &Message, Instant Now,
                           OutgoingMessages &Out) {
  const auto It = m_Members.find(Message.subject());
  if (It == m_Members.end())
    return;
  m_PendingConfirms.push_back({Message.sender().address(), Message.subject(),
                               Now + m_Settings.m_Period});
  PeerMessage Ping = message(PeerMessage::PING);
  Out.push_back({It->second.m_Record.address(), std::move(Ping)});
}

void Membership::forwardConfirmations(const std::string &Alive,
                                      OutgoingMessages &Out) {
  for (const PendingConfirm &Pending : m_PendingConfirms) {
    if (Pending.m_Subject != Alive)
      continue;
    PeerMessage Confirmation = message(PeerMessage::CONFIRMED);
    Confirmation.set_subject(Alive);
    Out.push_back({Pending.m_Requester, std::move(Confirmation)});
  }
  std::erase_if(m_PendingConfirms, [&](const PendingConfirm &Pending) {
    return Pending.m_Subject == Alive;
  });
}

// Sends all records and all notes that are set, in messages that each fit into
// one datagram.
void Membership::sendFullState(const std::string &Address,
                               OutgoingMessages &Out) {
  PeerMessage Part;
  const auto startPart = [&](bool Full) {
    Part = Full ? fullMessage(PeerMessage::NEWS) : message(PeerMessage::NEWS);
    Part.set_bulk(true);
  };
  const auto sendIfFull = [&](int Entries) {
    if (Entries < MaxPiggybacked)
      return;
    Out.push_back({Address, std::move(Part)});
    startPart(false);
  };
  startPart(true);
  for (const auto &[Name, Peer] : m_Members) {
    *Part.add_records() = Peer.m_Record;
    sendIfFull(Part.records_size());
  }
  for (const auto &[Name, Note] : m_Notes) {
    if (!Note.set())
      continue;
    *Part.add_endpoints() = Note;
    sendIfFull(Part.endpoints_size());
  }
  Out.push_back({Address, std::move(Part)});
}

OutgoingMessages Membership::onMessage(const PeerMessage &Message,
                                       Instant Now) {
  OutgoingMessages Out;
  const schema::PeerRecord &Sender = Message.sender();
  if (isSelf(Sender.name()))
    return Out;
  onSender(Sender, Now, Out);
  sendNewerRecords(Message, Out);
  bool HasUpdates = false;
  for (const schema::PeerRecord &Record : Message.records())
    HasUpdates |= merge(Record, Now, !Message.bulk());
  for (const schema::EndpointNote &Note : Message.endpoints())
    HasUpdates |= mergeNote(Note, !Message.bulk());
  switch (Message.kind()) {
  case PeerMessage::PING: {
    PeerMessage Ack = Message.want_record() ? fullMessage(PeerMessage::ACK)
                                            : message(PeerMessage::ACK);
    Ack.set_digest(digest());
    attachUpdates(Ack);
    Out.push_back({Sender.address(), std::move(Ack)});
    if (Message.want_all())
      sendFullState(Sender.address(), Out);
    break;
  }
  case PeerMessage::ACK:
    forwardConfirmations(Sender.name(), Out);
    onAck(Message, Out);
    break;
  case PeerMessage::CONFIRM:
    onConfirm(Message, Now, Out);
    break;
  case PeerMessage::CONFIRMED:
    onConfirmed(Message.subject());
    break;
  default:
    break;
  }
  if (HasUpdates)
    pushUpdates(Out);
  return Out;
}

// Compares the digests; after repeated mismatches both sides exchange their
// full state.
void Membership::onAck(const PeerMessage &Message, OutgoingMessages &Out) {
  const auto It = m_Members.find(Message.sender().name());
  if (It == m_Members.end() || Message.digest() == 0)
    return;
  unsigned &Mismatches = It->second.m_DigestMismatches;
  Mismatches = Message.digest() == digest() ? 0 : Mismatches + 1;
  if (Mismatches < MismatchesBeforeSync)
    return;
  Mismatches = 0;
  sendFullState(Message.sender().address(), Out);
  PeerMessage Request = message(PeerMessage::PING);
  Request.set_want_all(true);
  Out.push_back({Message.sender().address(), std::move(Request)});
}

void Membership::onConfirmed(const std::string &Subject) {
  const auto It = m_Members.find(Subject);
  if (It == m_Members.end())
    return;
  It->second.m_PingedAt.reset();
  It->second.m_MissedAcks = 0;
}

OutgoingMessages Membership::setGeneration(Generation Adopted) {
  OutgoingMessages Out;
  if (raw(Adopted) <= m_Self.generation())
    return Out;
  m_Self.set_generation(raw(Adopted));
  pushUpdates(Out);
  return Out;
}

OutgoingMessages Membership::leave() {
  OutgoingMessages Out;
  m_Self.set_state(schema::PEER_LEAVING);
  invalidateCaches();
  addUpdate(m_Self);
  pushUpdates(Out);
  return Out;
}

OutgoingMessages Membership::setEndpointNote(const std::string &Name,
                                             schema::NoteKind Kind, bool Set,
                                             Incarnation Host) {
  OutgoingMessages Out;
  schema::EndpointNote &Current = m_Notes[noteKey(Name, Kind)];
  const bool Outdated = raw(Host) < Current.incarnation();
  if (Outdated || (Current.set() == Set && raw(Host) == Current.incarnation()))
    return Out;
  Current.set_name(Name);
  Current.set_kind(Kind);
  Current.set_version(Current.version() + 1);
  Current.set_set(Set);
  Current.set_incarnation(raw(Host));
  addNoteUpdate(Current);
  pushUpdates(Out);
  return Out;
}

std::vector<schema::EndpointNote> Membership::takeEndpointNotes() {
  return std::exchange(m_ReceivedNotes, {});
}

std::optional<schema::PeerRecord> Membership::peerWithNewerGeneration() const {
  const schema::PeerRecord *Newest = nullptr;
  for (const auto &[Name, Peer] : m_Members)
    if (alive(Peer) && Peer.m_Record.generation() > m_Self.generation() &&
        (!Newest || Peer.m_Record.generation() > Newest->generation()))
      Newest = &Peer.m_Record;
  return Newest ? std::optional(*Newest) : std::nullopt;
}

std::optional<schema::PeerRecord> Membership::find(const PeerId &Name) const {
  if (isSelf(Name.str()))
    return m_Self;
  const auto It = m_Members.find(Name.str());
  return It == m_Members.end() ? std::nullopt
                               : std::optional(It->second.m_Record);
}

std::vector<schema::PeerRecord> Membership::records() const {
  std::vector<schema::PeerRecord> All{m_Self};
  for (const auto &[Name, Peer] : m_Members)
    All.push_back(Peer.m_Record);
  return All;
}

std::vector<std::string> Membership::aliveInDataCentre() const {
  std::vector<std::string> Names = ringAfterSelf(m_Self.data_centre());
  Names.push_back(m_Self.name());
  return Names;
}

std::size_t Membership::aliveCount() const {
  std::size_t Count = 1;
  for (const auto &[Name, Peer] : m_Members)
    Count += alive(Peer) ? 1 : 0;
  return Count;
}

bool Membership::unreachable(const PeerId &Name) const {
  const auto It = m_Members.find(Name.str());
  return It != m_Members.end() && It->second.m_Unreachable;
}

void Membership::evictGone(Instant Now) {
  const std::size_t Evicted = std::erase_if(m_Members, [&](const auto &Entry) {
    const Member &Peer = Entry.second;
    return Peer.m_GoneSince &&
           Now - *Peer.m_GoneSince > m_Settings.m_DeadRetention;
  });
  if (Evicted > 0)
    invalidateCaches();
}

} // namespace mimosadale::decide
