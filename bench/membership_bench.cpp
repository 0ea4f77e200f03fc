// Compares membership protocols at 7, 34 and 340 nodes: traffic per node, time
// until all routers of a data centre have detected a failed one, and false
// suspicions while nodes pause at random.
#include "support/membership_nodes.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>

using namespace mimosadale;
using namespace mimosadale::bench;

namespace {

constexpr Duration Period = std::chrono::milliseconds(700);
constexpr Duration AckTimeout = std::chrono::milliseconds(200);
constexpr Duration HeartbeatTimeout = std::chrono::milliseconds(1300);
constexpr Duration SettleTime = std::chrono::seconds(30);
constexpr Duration MeasurementTime = std::chrono::seconds(30);
constexpr Duration MaxDetectionTime = std::chrono::seconds(60);

struct Protocol {
  const char *m_Name;
  std::function<std::unique_ptr<MembershipNode>(const NodeLocation &,
                                                const NodeLocations &)>
      m_MakeNode;
};

struct ClusterSize {
  std::size_t m_Nodes;
  std::size_t m_DataCentres;
};

NodeLocations makeLocations(const ClusterSize &Size) {
  NodeLocations Locations;
  for (std::size_t I = 0; I < Size.m_Nodes; ++I) {
    char Name[64];
    const std::size_t DataCentre = I % Size.m_DataCentres;
    std::snprintf(Name, sizeof(Name), "dc%02zu-router-%03zu", DataCentre, I);
    Locations.push_back({Name, "dc" + std::to_string(DataCentre)});
  }
  return Locations;
}

// A simulation of one protocol at one cluster size.
class ProtocolRun {
public:
  ProtocolRun(const Protocol &Candidate, const ClusterSize &Size,
              NetworkSettings Settings)
      : m_Locations(makeLocations(Size)), m_Network(Settings) {
    for (const NodeLocation &Location : m_Locations) {
      m_Nodes.push_back(Candidate.m_MakeNode(Location, m_Locations));
      m_Network.add(Location.m_Name + ":7120", m_Nodes.back()->node());
    }
    m_Network.runUntil(m_Network.now() + SettleTime);
  }

  double bytesPerNodePerSecond() {
    fetchAndResetAllBytes();
    m_Network.runUntil(m_Network.now() + MeasurementTime);
    return static_cast<double>(fetchAndResetAllBytes()) /
           seconds(MeasurementTime) / static_cast<double>(m_Locations.size());
  }

  // Kills a node and runs until all other nodes of its data centre consider it
  // dead, at most `MaxDetectionTime`. \returns the virtual time taken.
  double detectionSeconds(std::size_t Victim) {
    m_Network.kill(m_Locations[Victim].m_Name + ":7120");
    m_KilledNodes.push_back(Victim);
    const Instant Start = m_Network.now();
    while (!allDetected(Victim) && m_Network.now() - Start < MaxDetectionTime)
      m_Network.runUntil(m_Network.now() + std::chrono::milliseconds(10));
    return seconds(m_Network.now() - Start);
  }

  void runFor(Duration Time) { m_Network.runUntil(m_Network.now() + Time); }

  std::uint64_t falseSuspicions() const {
    std::uint64_t Sum = 0;
    for (const auto &Node : m_Nodes)
      Sum += Node->falseSuspicions();
    return Sum;
  }

private:
  std::uint64_t fetchAndResetAllBytes() {
    std::uint64_t Sum = 0;
    for (const NodeLocation &Location : m_Locations)
      Sum += m_Network.fetchAndResetBytes(Location.m_Name + ":7120");
    return Sum;
  }

  bool allDetected(std::size_t Victim) const {
    for (std::size_t I = 0; I < m_Locations.size(); ++I) {
      const bool IsKilled =
          std::find(m_KilledNodes.begin(), m_KilledNodes.end(), I) !=
          m_KilledNodes.end();
      if (!IsKilled &&
          m_Locations[I].m_DataCentre == m_Locations[Victim].m_DataCentre &&
          !m_Nodes[I]->considersDead(m_Locations[Victim].m_Name))
        return false;
    }
    return true;
  }

  NodeLocations m_Locations;
  VirtualNetwork m_Network;
  std::vector<std::unique_ptr<MembershipNode>> m_Nodes;
  std::vector<std::size_t> m_KilledNodes;
};

void measure(const Protocol &Candidate, const ClusterSize &Size) {
  ProtocolRun SteadyRun(Candidate, Size, {});
  const double BytesPerSecond = SteadyRun.bytesPerNodePerSecond();
  std::vector<double> DetectionTimes;
  const std::size_t Deaths = std::min<std::size_t>(5, Size.m_Nodes / 3);
  for (std::size_t I = 0; I < Deaths; ++I) {
    DetectionTimes.push_back(
        SteadyRun.detectionSeconds(I * Size.m_Nodes / Deaths));
    SteadyRun.runFor(std::chrono::seconds(5));
  }
  std::sort(DetectionTimes.begin(), DetectionTimes.end());

  NetworkSettings PauseSettings;
  PauseSettings.m_MeanPauseInterval = std::chrono::seconds(60);
  ProtocolRun PausingRun(Candidate, Size, PauseSettings);
  const std::uint64_t SuspicionsBefore = PausingRun.falseSuspicions();
  // 2,000 node-minutes at each size, but at least 2 minutes.
  const double Minutes =
      std::max(2.0, 2000.0 / static_cast<double>(Size.m_Nodes));
  PausingRun.runFor(fromSeconds(Minutes * 60));
  const double FalsePerNodeHour =
      static_cast<double>(PausingRun.falseSuspicions() - SuspicionsBefore) *
      60 / Minutes / static_cast<double>(Size.m_Nodes);
  std::printf("%-34s %5zu %4zu %10.0f %9.2f %9.2f %12.2f\n", Candidate.m_Name,
              Size.m_Nodes, Size.m_DataCentres, BytesPerSecond,
              DetectionTimes[DetectionTimes.size() / 2], DetectionTimes.back(),
              FalsePerNodeHour);
  std::fflush(stdout);
}

} // namespace

int main(int Argc, char **Argv) {
  decide::MembershipSettings AdoptedSettings;
  AdoptedSettings.m_Period = Period;
  AdoptedSettings.m_AckTimeout = AckTimeout;
  decide::MembershipSettings WithoutConfirmation = AdoptedSettings;
  WithoutConfirmation.m_ConfirmSuspicions = false;
  decide::MembershipSettings FixedTimeouts = AdoptedSettings;
  FixedTimeouts.m_ExtendTimeouts = false;
  const auto makeRingWith = [](decide::MembershipSettings Settings) {
    return [Settings](const NodeLocation &Self, const NodeLocations &All) {
      return makeRing(Self, All, Settings);
    };
  };
  const Protocol Protocols[] = {
      {"ring, confirmed, growing timeouts", makeRingWith(AdoptedSettings)},
      {"ring, confirmed, fixed timeouts", makeRingWith(FixedTimeouts)},
      {"ring, not confirmed", makeRingWith(WithoutConfirmation)},
      {"all to all",
       [](const NodeLocation &Self, const NodeLocations &All) {
         return makeAllToAll(Self, All, Period, HeartbeatTimeout);
       }},
      {"ring of the paper",
       [](const NodeLocation &Self, const NodeLocations &All) {
         return makeLarreaRing(Self, All, Period, AckTimeout);
       }}};
  std::printf("%-34s %5s %4s %10s %9s %9s %12s\n", "way", "nodes", "dcs",
              "B/s/node", "know p50", "know max", "wrong/node/h");
  for (const ClusterSize &Size :
       {ClusterSize{7, 3}, ClusterSize{34, 1}, ClusterSize{340, 10}})
    for (const Protocol &Candidate : Protocols)
      if (Argc < 2 || std::to_string(Size.m_Nodes) == Argv[1])
        measure(Candidate, Size);
}
