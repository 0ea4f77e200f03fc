#include "support/virtual_network.h"

#include <utility>

namespace mimosadale::bench {

void VirtualNetwork::add(const std::string &Address, VirtualNode Node) {
  NodeState &State = m_Nodes[Address];
  State.m_Node = std::move(Node);
  std::uniform_int_distribution<Duration::rep> FirstTick(
      0, State.m_Node.m_TickInterval.count());
  schedule(m_Now + Duration(FirstTick(m_Rng)), Address, "");
  schedulePause(Address);
}

void VirtualNetwork::schedule(Instant At, const std::string &Address,
                              std::string Bytes) {
  m_Events.push({At, ++m_Sequence, Address, std::move(Bytes)});
}

// A pause is an event whose only byte is zero; no message begins with zero.
void VirtualNetwork::schedulePause(const std::string &Address) {
  if (m_Settings.m_MeanPauseInterval == Duration(0))
    return;
  std::exponential_distribution<double> Interval(
      1 / seconds(m_Settings.m_MeanPauseInterval));
  schedule(m_Now + fromSeconds(Interval(m_Rng)), Address, std::string(1, '\0'));
}

void VirtualNetwork::runUntil(Instant Until) {
  while (!m_Events.empty() && m_Events.top().m_At <= Until) {
    Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    process(std::move(Next));
  }
  m_Now = Until;
}

void VirtualNetwork::process(Event Next) {
  NodeState &State = m_Nodes.at(Next.m_Address);
  if (State.m_Dead)
    return;
  if (m_Now < State.m_PausedUntil) {
    schedule(State.m_PausedUntil, Next.m_Address, std::move(Next.m_Bytes));
    return;
  }
  if (Next.m_Bytes.empty()) {
    send(Next.m_Address, State.m_Node.m_Tick(m_Now));
    schedule(m_Now + State.m_Node.m_TickInterval, Next.m_Address, "");
  } else if (Next.m_Bytes.front() == '\0') {
    std::uniform_real_distribution<double> PauseSeconds(
        0, seconds(m_Settings.m_MaxPause));
    pause(Next.m_Address, fromSeconds(PauseSeconds(m_Rng)));
    schedulePause(Next.m_Address);
  } else {
    State.m_Bytes += Next.m_Bytes.size() + m_Settings.m_OverheadBytes;
    ++State.m_Messages;
    send(Next.m_Address, State.m_Node.m_Receive(Next.m_Bytes, m_Now));
  }
}

void VirtualNetwork::send(const std::string &From, Datagrams Messages) {
  NodeState &Sender = m_Nodes.at(From);
  std::uniform_real_distribution<double> LossDraw(0, 1);
  std::exponential_distribution<double> ExtraDelay(
      1 / seconds(m_Settings.m_MeanExtraDelay));
  for (Datagram &Message : Messages) {
    Sender.m_Bytes += Message.m_Bytes.size() + m_Settings.m_OverheadBytes;
    ++Sender.m_Messages;
    const bool IsAllowed = !m_LinkFilter || m_LinkFilter(From, Message.m_To);
    if (!m_Nodes.contains(Message.m_To) || !IsAllowed ||
        LossDraw(m_Rng) < m_Settings.m_LossProbability)
      continue;
    const Duration Delay =
        m_Settings.m_MinDelay + fromSeconds(ExtraDelay(m_Rng));
    schedule(m_Now + Delay, Message.m_To, std::move(Message.m_Bytes));
  }
}

void VirtualNetwork::kill(const std::string &Address) {
  m_Nodes.at(Address).m_Dead = true;
}

void VirtualNetwork::pause(const std::string &Address, Duration Time) {
  m_Nodes.at(Address).m_PausedUntil = m_Now + Time;
}

std::uint64_t VirtualNetwork::fetchAndResetBytes(const std::string &Address) {
  return std::exchange(m_Nodes.at(Address).m_Bytes, 0);
}

std::uint64_t
VirtualNetwork::fetchAndResetMessages(const std::string &Address) {
  return std::exchange(m_Nodes.at(Address).m_Messages, 0);
}

} // namespace mimosadale::bench
