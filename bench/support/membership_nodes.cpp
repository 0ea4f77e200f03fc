#include "support/membership_nodes.h"

#include <algorithm>
#include <map>
#include <set>

namespace mimosadale::bench {

namespace {

using schema::PeerMessage;

schema::PeerRecord makeRecord(const NodeLocation &Location) {
  schema::PeerRecord Record;
  Record.set_name(Location.m_Name);
  Record.set_address(Location.m_Name + ":7120");
  Record.set_data_centre(Location.m_DataCentre);
  Record.set_operators_address(Location.m_Name + ":7110");
  Record.set_incarnation(1796331013430);
  Record.set_started(1796331013430);
  return Record;
}

std::string makeAddress(const std::string &Name) { return Name + ":7120"; }

// Adapts `decide::Membership`, the router's own protocol.
class Ring final : public MembershipNode {
public:
  Ring(const NodeLocation &Self, const NodeLocations &All,
       decide::MembershipSettings Settings)
      : m_Members(makeRecord(Self), Settings, chooseSeeds(Self, All)) {}

  VirtualNode node() override {
    VirtualNode Node;
    Node.m_Tick = [this](Instant Now) { return encode(m_Members.onTick(Now)); };
    Node.m_Receive = [this](const std::string &Bytes, Instant Now) {
      PeerMessage Message;
      Message.ParseFromString(Bytes.substr(1));
      return encode(m_Members.onMessage(Message, Now));
    };
    return Node;
  }

  bool considersDead(const std::string &Name) const override {
    const auto Record = m_Members.find(PeerId(Name));
    return !Record || Record->state() == schema::PEER_DEAD ||
           m_Members.unreachable(PeerId(Name));
  }

  std::uint64_t falseSuspicions() const override {
    return m_Members.falseSuspicions();
  }

private:
  // The first two other nodes of each data centre, a typical operator's choice.
  static std::vector<std::string> chooseSeeds(const NodeLocation &Self,
                                              const NodeLocations &All) {
    std::map<std::string, int> SeedsPerCentre;
    std::vector<std::string> Seeds;
    for (const NodeLocation &Location : All)
      if (Location.m_Name != Self.m_Name &&
          SeedsPerCentre[Location.m_DataCentre]++ < 2)
        Seeds.push_back(makeAddress(Location.m_Name));
    return Seeds;
  }

  // The leading byte distinguishes messages from ticks, which are empty, and
  // from pauses, which begin with a zero byte.
  static Datagrams encode(decide::OutgoingMessages Messages) {
    Datagrams Result;
    for (const decide::OutgoingMessage &Message : Messages)
      Result.push_back(
          {Message.m_Address, "m" + Message.m_Message.SerializeAsString()});
    return Result;
  }

  decide::Membership m_Members;
};

class AllToAll final : public MembershipNode {
public:
  AllToAll(const NodeLocation &Self, const NodeLocations &All, Duration Period,
           Duration Timeout)
      : m_Self(Self.m_Name), m_Period(Period), m_Timeout(Timeout) {
    for (const NodeLocation &Location : All)
      if (Location.m_Name != m_Self)
        m_Peers[Location.m_Name] = {};
  }

  VirtualNode node() override {
    VirtualNode Node;
    Node.m_Tick = [this](Instant Now) { return tick(Now); };
    Node.m_Receive = [this](const std::string &Bytes, Instant Now) {
      PeerMessage Message;
      Message.ParseFromString(Bytes.substr(1));
      receive(Message.sender().name(), Now);
      return Datagrams();
    };
    return Node;
  }

  bool considersDead(const std::string &Name) const override {
    const auto Found = m_Peers.find(Name);
    return Found != m_Peers.end() && Found->second.m_Dead;
  }

  std::uint64_t falseSuspicions() const override { return m_FalseSuspicions; }

private:
  struct Peer {
    Instant m_LastHeard{};
    bool m_Dead = false;
  };

  Datagrams tick(Instant Now) {
    for (auto &[Name, State] : m_Peers) {
      if (State.m_LastHeard == Instant())
        State.m_LastHeard = Now;
      State.m_Dead = Now - State.m_LastHeard > m_Timeout;
    }
    if (Now < m_NextSend)
      return {};
    m_NextSend = Now + m_Period;
    PeerMessage Heartbeat;
    Heartbeat.mutable_sender()->set_name(m_Self);
    Heartbeat.mutable_sender()->set_incarnation(1796331013430);
    Heartbeat.set_sequence(++m_Sequence);
    Datagrams Heartbeats;
    for (const auto &[Name, State] : m_Peers)
      Heartbeats.push_back(
          {makeAddress(Name), "m" + Heartbeat.SerializeAsString()});
    return Heartbeats;
  }

  void receive(const std::string &From, Instant Now) {
    Peer &Sender = m_Peers[From];
    m_FalseSuspicions += Sender.m_Dead ? 1 : 0;
    Sender.m_Dead = false;
    Sender.m_LastHeard = Now;
  }

  std::string m_Self;
  Duration m_Period;
  Duration m_Timeout;
  std::map<std::string, Peer> m_Peers;
  Instant m_NextSend{};
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_FalseSuspicions = 0;
};

class LarreaRing final : public MembershipNode {
public:
  LarreaRing(const NodeLocation &Self, const NodeLocations &All,
             Duration Period, Duration Timeout)
      : m_Self(Self.m_Name), m_Period(Period) {
    for (const NodeLocation &Location : All)
      m_Ring.push_back(Location.m_Name);
    std::sort(m_Ring.begin(), m_Ring.end());
    for (const std::string &Name : m_Ring)
      m_Timeout[Name] = Timeout;
    m_Target = successor(m_Self);
  }

  VirtualNode node() override {
    VirtualNode Node;
    Node.m_Tick = [this](Instant Now) { return tick(Now); };
    Node.m_Receive = [this](const std::string &Bytes, Instant) {
      return receive(Bytes);
    };
    return Node;
  }

  bool considersDead(const std::string &Name) const override {
    return m_GlobalSuspects.contains(Name);
  }

  std::uint64_t falseSuspicions() const override { return m_FalseSuspicions; }

private:
  std::string successor(const std::string &Name) const {
    auto Next = std::upper_bound(m_Ring.begin(), m_Ring.end(), Name);
    return Next == m_Ring.end() ? m_Ring.front() : *Next;
  }

  // Only 7 bits of a byte are used, since protobuf text fields must be UTF-8.
  static constexpr std::size_t BitsPerByte = 7;

  // Encodes the list of suspects as one bit per process, as the paper counts
  // it.
  std::string encodeSuspects() const {
    std::string Bits(m_Ring.size() / BitsPerByte + 1, '\0');
    for (std::size_t I = 0; I < m_Ring.size(); ++I)
      if (m_GlobalSuspects.contains(m_Ring[I]))
        Bits[I / BitsPerByte] =
            static_cast<char>(Bits[I / BitsPerByte] | 1 << I % BitsPerByte);
    return Bits;
  }

  std::set<std::string> decodeSuspects(const std::string &Bits) const {
    std::set<std::string> Suspects;
    for (std::size_t I = 0; I < m_Ring.size(); ++I)
      if (Bits[I / BitsPerByte] >> I % BitsPerByte & 1)
        Suspects.insert(m_Ring[I]);
    return Suspects;
  }

  std::string message(PeerMessage::Kind Kind) {
    PeerMessage Message;
    Message.set_kind(Kind);
    Message.mutable_sender()->set_name(m_Self);
    Message.mutable_sender()->set_incarnation(1796331013430);
    Message.set_sequence(++m_Sequence);
    if (Kind == PeerMessage::PING)
      Message.set_subject(encodeSuspects());
    return "m" + Message.SerializeAsString();
  }

  Datagrams tick(Instant Now) {
    if (m_Target == m_Self)
      return {};
    if (m_PingSentAt && Now - *m_PingSentAt >= m_Timeout[m_Target]) {
      m_PingSentAt.reset();
      if (!m_TargetResponded) {
        m_LocalSuspects.insert(m_Target);
        m_GlobalSuspects.insert(m_Target);
        m_Target = successor(m_Target);
        m_NextSend = Now;
      }
    }
    if (m_PingSentAt || Now < m_NextSend)
      return {};
    m_NextSend = Now + m_Period;
    m_PingSentAt = Now;
    m_TargetResponded = false;
    return {{makeAddress(m_Target), message(PeerMessage::PING)}};
  }

  // Polls \p Name again, and stops suspecting it and its successors up to the
  // current target.
  void resumePolling(const std::string &Name) {
    ++m_FalseSuspicions;
    m_Timeout[Name] *= 2;
    for (std::string Suspect = Name; Suspect != m_Target;
         Suspect = successor(Suspect)) {
      m_LocalSuspects.erase(Suspect);
      m_GlobalSuspects.erase(Suspect);
    }
    m_Target = Name;
    m_TargetResponded = true;
    m_PingSentAt.reset();
  }

  Datagrams receive(const std::string &Bytes) {
    PeerMessage Message;
    Message.ParseFromString(Bytes.substr(1));
    const std::string &From = Message.sender().name();
    if (Message.kind() == PeerMessage::PING) {
      if (m_LocalSuspects.contains(From))
        resumePolling(From);
      m_GlobalSuspects = decodeSuspects(Message.subject());
      m_GlobalSuspects.insert(m_LocalSuspects.begin(), m_LocalSuspects.end());
      m_GlobalSuspects.erase(m_Self);
      m_GlobalSuspects.erase(From);
      return {{makeAddress(From), message(PeerMessage::ACK)}};
    }
    if (From == m_Target)
      m_TargetResponded = true;
    else if (m_LocalSuspects.contains(From))
      resumePolling(From);
    return {};
  }

  std::string m_Self;
  Duration m_Period;
  std::vector<std::string> m_Ring;
  std::map<std::string, Duration> m_Timeout;
  std::string m_Target;
  std::set<std::string> m_LocalSuspects;
  std::set<std::string> m_GlobalSuspects;
  std::optional<Instant> m_PingSentAt;
  bool m_TargetResponded = false;
  Instant m_NextSend{};
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_FalseSuspicions = 0;
};

} // namespace

std::unique_ptr<MembershipNode> makeRing(const NodeLocation &Self,
                                         const NodeLocations &All,
                                         decide::MembershipSettings Settings) {
  return std::make_unique<Ring>(Self, All, Settings);
}

std::unique_ptr<MembershipNode> makeAllToAll(const NodeLocation &Self,
                                             const NodeLocations &All,
                                             Duration Period,
                                             Duration Timeout) {
  return std::make_unique<AllToAll>(Self, All, Period, Timeout);
}

std::unique_ptr<MembershipNode> makeLarreaRing(const NodeLocation &Self,
                                               const NodeLocations &All,
                                               Duration Period,
                                               Duration Timeout) {
  return std::make_unique<LarreaRing>(Self, All, Period, Timeout);
}

} // namespace mimosadale::bench
