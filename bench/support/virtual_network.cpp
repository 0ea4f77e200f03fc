#include "support/virtual_network.h"

#include <utility>

namespace mimosadale::bench {

void VirtualNetwork::add(const std::string &Address, VirtualNode Node) {
  Place &At = m_Places[Address];
  At.m_Node = std::move(Node);
  std::uniform_int_distribution<Duration::rep> First(
      0, At.m_Node.m_TickPause.count());
  schedule(m_Now + Duration(First(m_Rng)), Address, "");
  schedulePause(Address);
}

void VirtualNetwork::schedule(Instant At, const std::string &Address,
                              std::string Bytes) {
  m_Events.push({At, ++m_Order, Address, std::move(Bytes)});
}

// A pause is an event too: its bytes begin with a byte no message begins with.
void VirtualNetwork::schedulePause(const std::string &Address) {
  if (m_Settings.m_MeanBetweenPauses == Duration(0))
    return;
  std::exponential_distribution<double> Gap(
      1 / seconds(m_Settings.m_MeanBetweenPauses));
  schedule(m_Now + fromSeconds(Gap(m_Rng)), Address, std::string(1, '\0'));
}

void VirtualNetwork::runUntil(Instant Until) {
  while (!m_Events.empty() && m_Events.top().m_At <= Until) {
    Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    run(std::move(Next));
  }
  m_Now = Until;
}

void VirtualNetwork::run(Event Next) {
  Place &At = m_Places.at(Next.m_Address);
  if (At.m_Dead)
    return;
  if (m_Now < At.m_PausedUntil) {
    schedule(At.m_PausedUntil, Next.m_Address, std::move(Next.m_Bytes));
    return;
  }
  if (Next.m_Bytes.empty()) {
    send(Next.m_Address, At.m_Node.m_Tick(m_Now));
    schedule(m_Now + At.m_Node.m_TickPause, Next.m_Address, "");
  } else if (Next.m_Bytes.front() == '\0') {
    std::uniform_real_distribution<double> Length(
        0, seconds(m_Settings.m_LongestPause));
    pause(Next.m_Address, fromSeconds(Length(m_Rng)));
    schedulePause(Next.m_Address);
  } else {
    At.m_Bytes += Next.m_Bytes.size() + m_Settings.m_Overhead;
    ++At.m_Messages;
    send(Next.m_Address, At.m_Node.m_Receive(Next.m_Bytes, m_Now));
  }
}

void VirtualNetwork::send(const std::string &From, Datagrams Out) {
  Place &Sender = m_Places.at(From);
  std::uniform_real_distribution<double> Luck(0, 1);
  std::exponential_distribution<double> Extra(
      1 / seconds(m_Settings.m_MeanExtraDelay));
  for (Datagram &Each : Out) {
    Sender.m_Bytes += Each.m_Bytes.size() + m_Settings.m_Overhead;
    ++Sender.m_Messages;
    const bool Passes = !m_Passes || m_Passes(From, Each.m_To);
    if (!m_Places.contains(Each.m_To) || !Passes ||
        Luck(m_Rng) < m_Settings.m_Loss)
      continue;
    const Duration Delay = m_Settings.m_LeastDelay + fromSeconds(Extra(m_Rng));
    schedule(m_Now + Delay, Each.m_To, std::move(Each.m_Bytes));
  }
}

void VirtualNetwork::kill(const std::string &Address) {
  m_Places.at(Address).m_Dead = true;
}

void VirtualNetwork::pause(const std::string &Address, Duration Time) {
  m_Places.at(Address).m_PausedUntil = m_Now + Time;
}

std::uint64_t VirtualNetwork::takeBytes(const std::string &Address) {
  return std::exchange(m_Places.at(Address).m_Bytes, 0);
}

std::uint64_t VirtualNetwork::takeMessages(const std::string &Address) {
  return std::exchange(m_Places.at(Address).m_Messages, 0);
}

} // namespace mimosadale::bench
