// A simulated network in virtual time, with message delay and loss, node pauses
// and network partitions. It is independent of the protocol that runs on it.
#ifndef MIMOSADALE_BENCH_VIRTUAL_NETWORK_H
#define MIMOSADALE_BENCH_VIRTUAL_NETWORK_H

#include "base/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace mimosadale::bench {

/// A serialized message, so that its size is the one on the wire.
struct Datagram {
  std::string m_To;
  std::string m_Bytes;
};

using Datagrams = std::vector<Datagram>;

/// The callbacks of a node. Each returns the messages to send.
struct VirtualNode {
  std::function<Datagrams(Instant)> m_Tick;
  std::function<Datagrams(const std::string &Bytes, Instant)> m_Receive;
  Duration m_TickInterval = std::chrono::milliseconds(50);
};

struct NetworkSettings {
  Duration m_MinDelay = std::chrono::microseconds(100);
  Duration m_MeanExtraDelay = std::chrono::microseconds(200);
  double m_LossProbability = 0.001;
  Duration m_MeanPauseInterval{}; // 0 disables pauses
  Duration m_MaxPause = std::chrono::milliseconds(800);
  std::uint64_t m_Seed = 1;
  std::size_t m_OverheadBytes = 28 + 40; // bytes per message: UDP and IP
                                         // headers, seal
};

/// A discrete-event simulation of nodes that exchange datagrams.
///
/// \par Thread safety
/// None.
class VirtualNetwork {
public:
  explicit VirtualNetwork(NetworkSettings Settings)
      : m_Settings(Settings), m_Rng(Settings.m_Seed) {}

  void add(const std::string &Address, VirtualNode Node);

  /// Processes all events up to \p Until. \pre \p Until is not before `now()`.
  void runUntil(Instant Until);

  /// Stops a node permanently.
  void kill(const std::string &Address);

  /// Pauses a node; its messages and ticks are delivered after the pause.
  void pause(const std::string &Address, Duration Time);

  /// Decides whether a message is delivered; without one, all are.
  std::function<bool(const std::string &From, const std::string &To)>
      m_LinkFilter;

  Instant now() const { return m_Now; }

  /// Bytes that a node sent and received since the previous call.
  std::uint64_t fetchAndResetBytes(const std::string &Address);
  std::uint64_t fetchAndResetMessages(const std::string &Address);

private:
  struct NodeState {
    VirtualNode m_Node;
    bool m_Dead = false;
    Instant m_PausedUntil{};
    std::uint64_t m_Bytes = 0;
    std::uint64_t m_Messages = 0;
  };
  struct Event {
    Instant m_At;
    std::uint64_t m_Sequence = 0; // orders events of the same time
    std::string m_Address;
    std::string m_Bytes; // empty for a tick
    // Reversed, since std::priority_queue returns the greatest element first.
    bool operator<(const Event &Other) const {
      return std::tie(m_At, m_Sequence) >
             std::tie(Other.m_At, Other.m_Sequence);
    }
  };

  void send(const std::string &From, Datagrams Out);
  void schedule(Instant At, const std::string &Address, std::string Bytes);
  void schedulePause(const std::string &Address);
  void process(Event Next);

  NetworkSettings m_Settings;
  std::mt19937_64 m_Rng;
  std::map<std::string, NodeState> m_Nodes; // by address
  std::priority_queue<Event> m_Events;
  std::uint64_t m_Sequence = 0;
  Instant m_Now = Instant(std::chrono::seconds(1));
};

} // namespace mimosadale::bench

#endif
