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

// Pings without an answer before second watchers are asked.
constexpr unsigned MissesBeforeConfirm = 2;

// Second watchers asked about one suspicion.
constexpr unsigned ConfirmingRouters = 2;

// Records and notes that ride on one message, so that it fits a datagram.
constexpr int MaxPiggybacked = 8;

// Acks in a row with another digest before all records are exchanged; news on
// the way makes one or two differ.
constexpr unsigned MismatchesBeforeSync = 3;

// Rounds between pings of other data centres; a cut between them is no death,
// so it need not be seen as fast.
constexpr std::uint64_t RemotePingRounds = 2;

// Rounds between pings of seeds that are not among the living.
constexpr std::uint64_t SeedPingRounds = 10;

// Growth of the timeout of a router that was wrongly suspected, once.
// Three timeouts and a period stay below the 2 s within which a death is known.
constexpr int TimeoutFactor = 2;

// What a note is about: one source's word on one endpoint.
std::string noteKey(const std::string &Name, schema::NoteKind Kind) {
  return "note " + std::to_string(Kind) + " " + Name;
}

// Whether a record says more than another one of the same router: a later
// incarnation always, and in the same one the state further towards dead.
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

bool Membership::isLocal(const Member &Which) const {
  return Which.m_Record.data_centre() == m_Self.data_centre();
}

bool Membership::alive(const Member &Which) const {
  return Which.m_Record.state() != schema::PEER_DEAD;
}

// Living routers of a data centre in ring order, beginning after this one.
std::vector<std::string>
Membership::ringAfterSelf(const std::string &Centre) const {
  std::vector<std::string> Ring;
  for (const auto &[Name, Each] : m_Members)
    if (alive(Each) && Each.m_Record.data_centre() == Centre)
      Ring.push_back(Name);
  const auto After = std::upper_bound(Ring.begin(), Ring.end(), m_Self.name());
  std::rotate(Ring.begin(), After, Ring.end());
  return Ring;
}

std::vector<std::string> Membership::contacts(const std::string &From,
                                              const std::string &To) const {
  std::vector<std::string> Living;
  std::vector<std::string> Unreachable;
  if (m_Self.data_centre() == From)
    Living.push_back(m_Self.name());
  for (const auto &[Name, Each] : m_Members)
    if (alive(Each) && Each.m_Record.data_centre() == From)
      (Each.m_Unreachable ? Unreachable : Living).push_back(Name);
  if (Living.empty())
    Living = std::move(Unreachable);
  return chooseMembers(std::move(Living), From + " " + To,
                       m_Settings.m_Contacts);
}

// Whom this router pings: its successors, and its counterparts in other data
// centres if it is a contact of its own.
const std::vector<std::string> &Membership::pingTargets() {
  if (std::exchange(m_PingTargetsStale, false))
    m_PingTargets = computePingTargets();
  return m_PingTargets;
}

std::vector<std::string> Membership::computePingTargets() const {
  std::vector<std::string> Targets = ringAfterSelf(m_Self.data_centre());
  Targets.resize(
      std::min<std::size_t>(m_Settings.m_Successors, Targets.size()));
  std::set<std::string> Others;
  for (const auto &[Name, Each] : m_Members)
    if (alive(Each) && !isLocal(Each))
      Others.insert(Each.m_Record.data_centre());
  for (const std::string &Centre : Others) {
    const auto Own = contacts(m_Self.data_centre(), Centre);
    const auto There = contacts(Centre, m_Self.data_centre());
    const auto Place = std::find(Own.begin(), Own.end(), m_Self.name());
    if (Place != Own.end() && !There.empty())
      Targets.push_back(
          There[static_cast<std::size_t>(Place - Own.begin()) % There.size()]);
  }
  return Targets;
}

// The members changed: what is computed from them is out of date.
void Membership::invalidateCaches() {
  m_PingTargetsStale = true;
  m_Digest.reset();
}

// A hash over the records of all that live; the same on routers that agree.
std::uint64_t Membership::digest() {
  if (m_Digest)
    return *m_Digest;
  std::uint64_t Sum = 0;
  const auto add = [&](const schema::PeerRecord &Record) {
    if (Record.state() == schema::PEER_DEAD)
      return;
    const std::string Text = Record.name() + " " +
                             std::to_string(Record.incarnation()) + " " +
                             std::to_string(Record.state());
    Sum ^= XXH3_64bits(Text.data(), Text.size());
  };
  add(m_Self);
  for (const auto &[Name, Each] : m_Members)
    add(Each.m_Record);
  m_Digest = Sum;
  return Sum;
}

PeerMessage Membership::fullMessage(PeerMessage::Kind Kind) {
  PeerMessage To;
  To.set_kind(Kind);
  *To.mutable_sender() = m_Self;
  To.set_sequence(++m_Sequence);
  return To;
}

// A message without those parts of the sender's record that never change while
// it runs; who does not know them asks.
PeerMessage Membership::message(PeerMessage::Kind Kind) {
  PeerMessage To = fullMessage(Kind);
  To.mutable_sender()->clear_data_centre();
  To.mutable_sender()->clear_operators_address();
  return To;
}

unsigned Membership::sendsPerUpdate() const {
  return 2 + std::bit_width(m_Members.size() + 1);
}

void Membership::attachUpdates(PeerMessage &To) {
  int Attached = 0;
  for (auto It = m_Updates.begin();
       It != m_Updates.end() && Attached < MaxPiggybacked; ++Attached) {
    Update &Each = It->second;
    if (Each.m_Endpoint)
      *To.add_endpoints() = *Each.m_Endpoint;
    else
      *To.add_records() = Each.m_Record;
    It = --Each.m_SendsLeft == 0 ? m_Updates.erase(It) : std::next(It);
  }
}

void Membership::addUpdate(const schema::PeerRecord &Record) {
  m_Updates[Record.name()] = {Record, std::nullopt, sendsPerUpdate()};
}

void Membership::addNote(const schema::EndpointNote &Note) {
  m_Updates[noteKey(Note.name(), Note.kind())] = {{}, Note, sendsPerUpdate()};
}

// Sends the news at once to the routers at distances 1, 2, 4, ... on the ring,
// and from a contact to the other data centres.
void Membership::pushUpdates(OutgoingMessages &Out) {
  std::vector<std::string> Targets;
  const auto Ring = ringAfterSelf(m_Self.data_centre());
  for (std::size_t Distance = 1; Distance <= Ring.size(); Distance *= 2)
    Targets.push_back(Ring[Distance - 1]);
  // The counterparts as of the last round: news comes in bursts, and computing
  // them anew for each piece would cost more than the news.
  for (const std::string &Name : m_PingTargets)
    if (m_Members.contains(Name) && !isLocal(m_Members.at(Name)))
      Targets.push_back(Name);
  for (const std::string &Name : Targets) {
    PeerMessage To = message(PeerMessage::NEWS);
    attachUpdates(To);
    Out.push_back({m_Members.at(Name).m_Record.address(), std::move(To)});
  }
}

void Membership::ping(Member &Target, Instant Now, OutgoingMessages &Out) {
  PeerMessage To = message(PeerMessage::PING);
  attachUpdates(To);
  if (!Target.m_PingedAt)
    Target.m_PingedAt = Now;
  Out.push_back({Target.m_Record.address(), std::move(To)});
}

void Membership::pingSeeds(OutgoingMessages &Out) {
  std::set<std::string> Living;
  for (const auto &[Name, Each] : m_Members)
    if (alive(Each))
      Living.insert(Each.m_Record.address());
  for (const std::string &Seed : m_Seeds) {
    if (Living.contains(Seed))
      continue;
    PeerMessage To = fullMessage(PeerMessage::PING);
    To.set_want_all(true);
    Out.push_back({Seed, std::move(To)});
  }
}

OutgoingMessages Membership::onTick(Instant Now) {
  OutgoingMessages Out;
  checkTimeouts(Now, Out);
  std::erase_if(m_PendingConfirms, [&](const PendingConfirm &Each) {
    return Now >= Each.m_Until;
  });
  if (Now < m_NextRoundAt)
    return Out;
  m_NextRoundAt = Now + m_Settings.m_Period;
  const bool FarRound = m_Rounds % RemotePingRounds == 0;
  for (const std::string &Name : pingTargets()) {
    Member &Target = m_Members.at(Name);
    if (isLocal(Target) || FarRound)
      ping(Target, Now, Out);
  }
  if (m_Rounds++ % SeedPingRounds == 0 || m_Members.empty())
    pingSeeds(Out);
  evictGone(Now);
  return Out;
}

void Membership::checkTimeouts(Instant Now, OutgoingMessages &Out) {
  for (auto &[Name, Each] : m_Members) {
    if (!alive(Each) || !Each.m_PingedAt)
      continue;
    const unsigned Misses = Each.m_MissedAcks + 1;
    if (Now - *Each.m_PingedAt < Each.m_Timeout * static_cast<int>(Misses))
      continue;
    ++Each.m_MissedAcks;
    if (Each.m_MissedAcks < MissesBeforeConfirm) {
      ping(Each, Now, Out);
    } else if (!isLocal(Each)) {
      Each.m_Unreachable = true;
      m_AnyUnreachable = true;
      invalidateCaches();
      Each.m_GoneSince = Each.m_GoneSince.value_or(Now);
      Each.m_PingedAt.reset();
      Each.m_MissedAcks = 0;
    } else if (Each.m_MissedAcks == MissesBeforeConfirm &&
               m_Settings.m_ConfirmSuspicions) {
      askConfirmation(Each, Out);
      ping(Each, Now, Out);
    } else {
      declareDead(Each, Now, Out);
    }
  }
}

// Asks routers of the subject's data centre near it on the ring, who can reach
// it on other ways; ourselves excluded.
void Membership::askConfirmation(const Member &Subject, OutgoingMessages &Out) {
  std::vector<std::string> Helpers;
  for (const auto &[Name, Each] : m_Members)
    if (alive(Each) && Name != Subject.m_Record.name() &&
        Each.m_MissedAcks == 0 &&
        Each.m_Record.data_centre() == Subject.m_Record.data_centre())
      Helpers.push_back(Name);
  for (const std::string &Name : chooseMembers(
           std::move(Helpers), Subject.m_Record.name(), ConfirmingRouters)) {
    PeerMessage To = message(PeerMessage::CONFIRM);
    To.set_subject(Subject.m_Record.name());
    Out.push_back({m_Members.at(Name).m_Record.address(), std::move(To)});
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

// Anything heard from a router itself proves that it lives.
void Membership::onSender(const schema::PeerRecord &Sender, Instant Now,
                          OutgoingMessages &Out) {
  merge(Sender, Now, true);
  const auto Found = m_Members.find(Sender.name());
  if (Found == m_Members.end()) {
    // Only its short record is known: ask for the rest. Asking for all records
    // here would flood a fleet that starts at once.
    PeerMessage To = fullMessage(PeerMessage::PING);
    To.set_want_record(true);
    Out.push_back({Sender.address(), std::move(To)});
    return;
  }
  Member &From = Found->second;
  From.m_PingedAt.reset();
  From.m_MissedAcks = 0;
  clearUnreachable(From.m_Record.data_centre());
  From.m_Record.set_generation(
      std::max(From.m_Record.generation(), Sender.generation()));
  if (alive(From)) {
    From.m_GoneSince.reset();
    return;
  }
  // It does not know yet that it was taken for dead: tell it, so that it
  // refutes that under a new incarnation.
  PeerMessage To = message(PeerMessage::NEWS);
  *To.add_records() = From.m_Record;
  Out.push_back({Sender.address(), std::move(To)});
}

// A router of that data centre was heard, so the way there is open: the ones
// taken for unreachable are tried again. Dead ones its own routers tell of.
void Membership::clearUnreachable(const std::string &Centre) {
  if (!std::exchange(m_AnyUnreachable, false))
    return;
  for (auto &[Name, Each] : m_Members) {
    if (!Each.m_Unreachable)
      continue;
    if (Each.m_Record.data_centre() != Centre) {
      m_AnyUnreachable = true;
      continue;
    }
    Each.m_Unreachable = false;
    Each.m_GoneSince.reset();
    invalidateCaches();
  }
}

// Tells the sender of records that say less than the ones held here; without
// it, a death that one side of a healed cut declared would never reach the side
// that can refute it.
void Membership::sendNewerRecords(const PeerMessage &Message,
                                  OutgoingMessages &Out) {
  PeerMessage To = message(PeerMessage::NEWS);
  for (const schema::PeerRecord &Each : Message.records()) {
    const auto Held = m_Members.find(Each.name());
    if (Held != m_Members.end() && supersedes(Held->second.m_Record, Each))
      *To.add_records() = Held->second.m_Record;
  }
  if (To.records_size() > 0)
    Out.push_back({Message.sender().address(), std::move(To)});
}

void Membership::refute(const schema::PeerRecord &Claim) {
  if (Claim.incarnation() < m_Self.incarnation() ||
      Claim.state() <= m_Self.state())
    return;
  m_Self.set_incarnation(Claim.incarnation() + 1);
  invalidateCaches();
  addUpdate(m_Self);
}

// Takes over a record if it says more than the one held. \returns whether there
// is news to push. What a router got in bulk the others have already.
bool Membership::merge(const schema::PeerRecord &Record, Instant Now,
                       bool Spread) {
  if (isSelf(Record.name())) {
    const std::uint64_t Before = m_Self.incarnation();
    refute(Record);
    return m_Self.incarnation() != Before;
  }
  const auto Found = m_Members.find(Record.name());
  if (Found == m_Members.end()) {
    if (Record.state() == schema::PEER_DEAD || Record.data_centre().empty())
      return false;
    invalidateCaches();
    Member &Fresh = m_Members[Record.name()];
    Fresh.m_Record = Record;
    Fresh.m_Timeout = m_Settings.m_AckTimeout;
    if (Spread)
      addUpdate(Record);
    return Spread;
  }
  Member &Held = Found->second;
  if (!supersedes(Record, Held.m_Record))
    return false;
  invalidateCaches();
  const bool WasAlive = alive(Held);
  const schema::PeerRecord Before = Held.m_Record;
  const bool SameProcess = Before.started() == Record.started();
  Held.m_Record.MergeFrom(Record);
  Held.m_Record.set_state(Record.state());
  Held.m_Record.set_generation(
      SameProcess ? std::max(Before.generation(), Record.generation())
                  : Record.generation());
  Held.m_PingedAt.reset();
  Held.m_MissedAcks = 0;
  if (!alive(Held))
    Held.m_GoneSince = Now;
  else if (!WasAlive)
    onRevived(Held, SameProcess);
  if (Spread)
    addUpdate(Held.m_Record);
  return Spread;
}

// A router taken for dead lives: a wrong suspicion, unless it started again.
void Membership::onRevived(Member &Which, bool SameProcess) {
  Which.m_GoneSince.reset();
  const bool Declared = std::exchange(Which.m_DeclaredDeadHere, false);
  if (!SameProcess || !Declared)
    return;
  ++m_FalseSuspicions;
  if (m_Settings.m_ExtendTimeouts)
    Which.m_Timeout = m_Settings.m_AckTimeout * TimeoutFactor;
}

bool Membership::mergeNote(const schema::EndpointNote &Note, bool Spread) {
  schema::EndpointNote &Held = m_Notes[noteKey(Note.name(), Note.kind())];
  if (std::pair(Note.incarnation(), Note.version()) <=
      std::pair(Held.incarnation(), Held.version()))
    return false;
  Held = Note;
  m_ReceivedNotes.push_back(Note);
  if (Spread)
    addNote(Note);
  return Spread;
}

// Answers a second watcher's question by pinging the subject now; its ack is
// passed on.
void Membership::onConfirm(const PeerMessage &Message, Instant Now,
                           OutgoingMessages &Out) {
  const auto Found = m_Members.find(Message.subject());
  if (Found == m_Members.end())
    return;
  m_PendingConfirms.push_back({Message.sender().address(), Message.subject(),
                               Now + m_Settings.m_Period});
  PeerMessage To = message(PeerMessage::PING);
  Out.push_back({Found->second.m_Record.address(), std::move(To)});
}

void Membership::forwardConfirmations(const std::string &Alive,
                                      OutgoingMessages &Out) {
  for (const PendingConfirm &Each : m_PendingConfirms) {
    if (Each.m_Subject != Alive)
      continue;
    PeerMessage To = message(PeerMessage::CONFIRMED);
    To.set_subject(Alive);
    Out.push_back({Each.m_Requester, std::move(To)});
  }
  std::erase_if(m_PendingConfirms, [&](const PendingConfirm &Each) {
    return Each.m_Subject == Alive;
  });
}

// Sends every record and every leaving endpoint, in parts that fit a datagram.
void Membership::sendFullState(const std::string &Address,
                               OutgoingMessages &Out) {
  PeerMessage To;
  const auto begin = [&](bool Full) {
    To = Full ? fullMessage(PeerMessage::NEWS) : message(PeerMessage::NEWS);
    To.set_bulk(true);
  };
  const auto flush = [&](int Carried) {
    if (Carried < MaxPiggybacked)
      return;
    Out.push_back({Address, std::move(To)});
    begin(false);
  };
  begin(true);
  for (const auto &[Name, Each] : m_Members) {
    *To.add_records() = Each.m_Record;
    flush(To.records_size());
  }
  for (const auto &[Name, Note] : m_Notes) {
    if (!Note.set())
      continue;
    *To.add_endpoints() = Note;
    flush(To.endpoints_size());
  }
  Out.push_back({Address, std::move(To)});
}

OutgoingMessages Membership::onMessage(const PeerMessage &Message,
                                       Instant Now) {
  OutgoingMessages Out;
  const schema::PeerRecord &Sender = Message.sender();
  if (isSelf(Sender.name()))
    return Out;
  onSender(Sender, Now, Out);
  sendNewerRecords(Message, Out);
  bool Learned = false;
  for (const schema::PeerRecord &Each : Message.records())
    Learned |= merge(Each, Now, !Message.bulk());
  for (const schema::EndpointNote &Each : Message.endpoints())
    Learned |= mergeNote(Each, !Message.bulk());
  switch (Message.kind()) {
  case PeerMessage::PING: {
    PeerMessage To = Message.want_record() ? fullMessage(PeerMessage::ACK)
                                           : message(PeerMessage::ACK);
    To.set_digest(digest());
    attachUpdates(To);
    Out.push_back({Sender.address(), std::move(To)});
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
  if (Learned)
    pushUpdates(Out);
  return Out;
}

// Compares what both sides hold; if it stays different, both exchange all.
void Membership::onAck(const PeerMessage &Message, OutgoingMessages &Out) {
  const auto Found = m_Members.find(Message.sender().name());
  if (Found == m_Members.end() || Message.digest() == 0)
    return;
  unsigned &Differing = Found->second.m_DigestMismatches;
  Differing = Message.digest() == digest() ? 0 : Differing + 1;
  if (Differing < MismatchesBeforeSync)
    return;
  Differing = 0;
  sendFullState(Message.sender().address(), Out);
  PeerMessage To = message(PeerMessage::PING);
  To.set_want_all(true);
  Out.push_back({Message.sender().address(), std::move(To)});
}

void Membership::onConfirmed(const std::string &Subject) {
  const auto Found = m_Members.find(Subject);
  if (Found == m_Members.end())
    return;
  Found->second.m_PingedAt.reset();
  Found->second.m_MissedAcks = 0;
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
  schema::EndpointNote &Held = m_Notes[noteKey(Name, Kind)];
  const bool Older = raw(Host) < Held.incarnation();
  if (Older || (Held.set() == Set && raw(Host) == Held.incarnation()))
    return Out;
  Held.set_name(Name);
  Held.set_kind(Kind);
  Held.set_version(Held.version() + 1);
  Held.set_set(Set);
  Held.set_incarnation(raw(Host));
  addNote(Held);
  pushUpdates(Out);
  return Out;
}

std::vector<schema::EndpointNote> Membership::takeEndpointNotes() {
  return std::exchange(m_ReceivedNotes, {});
}

std::optional<schema::PeerRecord> Membership::peerWithNewerGeneration() const {
  const schema::PeerRecord *Best = nullptr;
  for (const auto &[Name, Each] : m_Members)
    if (alive(Each) && Each.m_Record.generation() > m_Self.generation() &&
        (!Best || Each.m_Record.generation() > Best->generation()))
      Best = &Each.m_Record;
  return Best ? std::optional(*Best) : std::nullopt;
}

std::optional<schema::PeerRecord> Membership::find(const PeerId &Name) const {
  if (isSelf(Name.str()))
    return m_Self;
  const auto Found = m_Members.find(Name.str());
  return Found == m_Members.end() ? std::nullopt
                                  : std::optional(Found->second.m_Record);
}

std::vector<schema::PeerRecord> Membership::records() const {
  std::vector<schema::PeerRecord> All{m_Self};
  for (const auto &[Name, Each] : m_Members)
    All.push_back(Each.m_Record);
  return All;
}

std::vector<std::string> Membership::aliveInDataCentre() const {
  std::vector<std::string> Names = ringAfterSelf(m_Self.data_centre());
  Names.push_back(m_Self.name());
  return Names;
}

std::size_t Membership::aliveCount() const {
  std::size_t Count = 1;
  for (const auto &[Name, Each] : m_Members)
    Count += alive(Each) ? 1 : 0;
  return Count;
}

bool Membership::unreachable(const PeerId &Name) const {
  const auto Found = m_Members.find(Name.str());
  return Found != m_Members.end() && Found->second.m_Unreachable;
}

void Membership::evictGone(Instant Now) {
  const std::size_t Forgotten = std::erase_if(m_Members, [&](const auto &Each) {
    const Member &Which = Each.second;
    return Which.m_GoneSince &&
           Now - *Which.m_GoneSince > m_Settings.m_DeadRetention;
  });
  if (Forgotten > 0)
    invalidateCaches();
}

} // namespace mimosadale::decide
