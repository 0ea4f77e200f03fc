#include "support/membership_nodes.h"

#include <algorithm>
#include <map>
#include <set>

namespace mimosadale::bench {

namespace {

using schema::PeerMessage;

schema::PeerRecord recordOf(const NodePlace &Place) {
  schema::PeerRecord Record;
  Record.set_name(Place.m_Name);
  Record.set_address(Place.m_Name + ":7120");
  Record.set_data_centre(Place.m_Centre);
  Record.set_operators_address(Place.m_Name + ":7110");
  Record.set_incarnation(1796331013430);
  Record.set_started(1796331013430);
  return Record;
}

std::string addressOf(const std::string &Name) { return Name + ":7120"; }

// The adopted state machine behind the interface of the measurement.
class Ring final : public MembershipNode {
public:
  Ring(const NodePlace &Self, const NodePlaces &All,
       decide::MembershipSettings Settings)
      : m_Members(recordOf(Self), Settings, seedsOf(Self, All)) {}

  VirtualNode node() override {
    VirtualNode Node;
    Node.m_Tick = [this](Instant Now) { return pack(m_Members.onTick(Now)); };
    Node.m_Receive = [this](const std::string &Bytes, Instant Now) {
      PeerMessage Message;
      Message.ParseFromString(Bytes.substr(1));
      return pack(m_Members.onMessage(Message, Now));
    };
    return Node;
  }

  bool deemsDead(const std::string &Name) const override {
    const auto Record = m_Members.find(PeerId(Name));
    return !Record || Record->state() == schema::PEER_DEAD ||
           m_Members.unreachable(PeerId(Name));
  }

  std::uint64_t falseSuspicions() const override {
    return m_Members.falseSuspicions();
  }

private:
  // The first two nodes of each data centre, as an operator would list them.
  static std::vector<std::string> seedsOf(const NodePlace &Self,
                                          const NodePlaces &All) {
    std::map<std::string, int> Taken;
    std::vector<std::string> Seeds;
    for (const NodePlace &Each : All)
      if (Each.m_Name != Self.m_Name && Taken[Each.m_Centre]++ < 2)
        Seeds.push_back(addressOf(Each.m_Name));
    return Seeds;
  }

  // One byte in front tells a message from the network's own events.
  static Datagrams pack(decide::OutgoingMessages Out) {
    Datagrams All;
    for (const decide::OutgoingMessage &Each : Out)
      All.push_back({Each.m_Address, "m" + Each.m_Message.SerializeAsString()});
    return All;
  }

  decide::Membership m_Members;
};

class AllToAll final : public MembershipNode {
public:
  AllToAll(const NodePlace &Self, const NodePlaces &All, Duration Period,
           Duration Timeout)
      : m_Self(Self.m_Name), m_Period(Period), m_Timeout(Timeout) {
    for (const NodePlace &Each : All)
      if (Each.m_Name != m_Self)
        m_Peers[Each.m_Name] = {};
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

  bool deemsDead(const std::string &Name) const override {
    const auto Found = m_Peers.find(Name);
    return Found != m_Peers.end() && Found->second.m_Dead;
  }

  std::uint64_t falseSuspicions() const override { return m_False; }

private:
  struct Peer {
    Instant m_Heard{};
    bool m_Dead = false;
  };

  Datagrams tick(Instant Now) {
    for (auto &[Name, Each] : m_Peers) {
      if (Each.m_Heard == Instant())
        Each.m_Heard = Now;
      Each.m_Dead = Now - Each.m_Heard > m_Timeout;
    }
    if (Now < m_Next)
      return {};
    m_Next = Now + m_Period;
    PeerMessage Beat;
    Beat.mutable_sender()->set_name(m_Self);
    Beat.mutable_sender()->set_incarnation(1796331013430);
    Beat.set_sequence(++m_Sequence);
    Datagrams Out;
    for (const auto &[Name, Each] : m_Peers)
      Out.push_back({addressOf(Name), "m" + Beat.SerializeAsString()});
    return Out;
  }

  void receive(const std::string &From, Instant Now) {
    Peer &Each = m_Peers[From];
    m_False += Each.m_Dead ? 1 : 0;
    Each.m_Dead = false;
    Each.m_Heard = Now;
  }

  std::string m_Self;
  Duration m_Period;
  Duration m_Timeout;
  std::map<std::string, Peer> m_Peers;
  Instant m_Next{};
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_False = 0;
};

class PaperRing final : public MembershipNode {
public:
  PaperRing(const NodePlace &Self, const NodePlaces &All, Duration Period,
            Duration Timeout)
      : m_Self(Self.m_Name), m_Period(Period) {
    for (const NodePlace &Each : All)
      m_Ring.push_back(Each.m_Name);
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

  bool deemsDead(const std::string &Name) const override {
    return m_Global.contains(Name);
  }

  std::uint64_t falseSuspicions() const override { return m_False; }

private:
  std::string successor(const std::string &Of) const {
    auto Next = std::upper_bound(m_Ring.begin(), m_Ring.end(), Of);
    return Next == m_Ring.end() ? m_Ring.front() : *Next;
  }

  // Bits in a byte of the list; text fields hold no bytes above 127.
  static constexpr std::size_t BitsPerByte = 7;

  // The list of suspects is one bit a process, as the paper counts it.
  std::string listBytes() const {
    std::string Bits(m_Ring.size() / BitsPerByte + 1, '\0');
    for (std::size_t I = 0; I < m_Ring.size(); ++I)
      if (m_Global.contains(m_Ring[I]))
        Bits[I / BitsPerByte] =
            static_cast<char>(Bits[I / BitsPerByte] | 1 << I % BitsPerByte);
    return Bits;
  }

  std::set<std::string> readList(const std::string &Bits) const {
    std::set<std::string> List;
    for (std::size_t I = 0; I < m_Ring.size(); ++I)
      if (Bits[I / BitsPerByte] >> I % BitsPerByte & 1)
        List.insert(m_Ring[I]);
    return List;
  }

  std::string message(PeerMessage::Kind Kind) {
    PeerMessage To;
    To.set_kind(Kind);
    To.mutable_sender()->set_name(m_Self);
    To.mutable_sender()->set_incarnation(1796331013430);
    To.set_sequence(++m_Sequence);
    if (Kind == PeerMessage::PING)
      To.set_subject(listBytes());
    return "m" + To.SerializeAsString();
  }

  Datagrams tick(Instant Now) {
    if (m_Target == m_Self)
      return {};
    if (m_PolledAt && Now - *m_PolledAt >= m_Timeout[m_Target]) {
      m_PolledAt.reset();
      if (!m_Received) {
        m_Local.insert(m_Target);
        m_Global.insert(m_Target);
        m_Target = successor(m_Target);
        m_Next = Now;
      }
    }
    if (m_PolledAt || Now < m_Next)
      return {};
    m_Next = Now + m_Period;
    m_PolledAt = Now;
    m_Received = false;
    return {{addressOf(m_Target), message(PeerMessage::PING)}};
  }

  // Stops suspecting the processes from q on, and polls q again.
  void returnTo(const std::string &Name) {
    ++m_False;
    m_Timeout[Name] *= 2;
    for (std::string Each = Name; Each != m_Target; Each = successor(Each)) {
      m_Local.erase(Each);
      m_Global.erase(Each);
    }
    m_Target = Name;
    m_Received = true;
    m_PolledAt.reset();
  }

  Datagrams receive(const std::string &Bytes) {
    PeerMessage Message;
    Message.ParseFromString(Bytes.substr(1));
    const std::string &From = Message.sender().name();
    if (Message.kind() == PeerMessage::PING) {
      if (m_Local.contains(From))
        returnTo(From);
      m_Global = readList(Message.subject());
      m_Global.insert(m_Local.begin(), m_Local.end());
      m_Global.erase(m_Self);
      m_Global.erase(From);
      return {{addressOf(From), message(PeerMessage::ACK)}};
    }
    if (From == m_Target)
      m_Received = true;
    else if (m_Local.contains(From))
      returnTo(From);
    return {};
  }

  std::string m_Self;
  Duration m_Period;
  std::vector<std::string> m_Ring;
  std::map<std::string, Duration> m_Timeout;
  std::string m_Target;
  std::set<std::string> m_Local;
  std::set<std::string> m_Global;
  std::optional<Instant> m_PolledAt;
  bool m_Received = false;
  Instant m_Next{};
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_False = 0;
};

} // namespace

std::unique_ptr<MembershipNode> makeRing(const NodePlace &Self,
                                         const NodePlaces &All,
                                         decide::MembershipSettings Settings) {
  return std::make_unique<Ring>(Self, All, Settings);
}

std::unique_ptr<MembershipNode> makeAllToAll(const NodePlace &Self,
                                             const NodePlaces &All,
                                             Duration Period,
                                             Duration Timeout) {
  return std::make_unique<AllToAll>(Self, All, Period, Timeout);
}

std::unique_ptr<MembershipNode> makePaperRing(const NodePlace &Self,
                                              const NodePlaces &All,
                                              Duration Period,
                                              Duration Timeout) {
  return std::make_unique<PaperRing>(Self, All, Period, Timeout);
}

} // namespace mimosadale::bench
