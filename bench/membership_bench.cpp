// Measures ways of membership at 7, 34 and 340 nodes: bytes a node, time until
// all routers of the data centre know a death, wrong suspicions under pauses.
#include "support/membership_nodes.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>

using namespace mimosadale;
using namespace mimosadale::bench;

namespace {

constexpr Duration Period = std::chrono::milliseconds(700);
constexpr Duration Timeout = std::chrono::milliseconds(200);
constexpr Duration HeartbeatTimeout = std::chrono::milliseconds(1300);
constexpr Duration Settle = std::chrono::seconds(30);
constexpr Duration Steady = std::chrono::seconds(30);
constexpr Duration MostWait = std::chrono::seconds(60);

struct Way {
  const char *m_Name;
  std::function<std::unique_ptr<MembershipNode>(const NodePlace &,
                                                const NodePlaces &)>
      m_Make;
};

struct Size {
  std::size_t m_Nodes;
  std::size_t m_Centres;
};

NodePlaces makePlaces(const Size &Of) {
  NodePlaces Places;
  for (std::size_t I = 0; I < Of.m_Nodes; ++I) {
    char Name[64];
    const std::size_t Centre = I % Of.m_Centres;
    std::snprintf(Name, sizeof(Name), "dc%02zu-router-%03zu", Centre, I);
    Places.push_back({Name, "dc" + std::to_string(Centre)});
  }
  return Places;
}

// One run of one way at one size.
class Run {
public:
  Run(const Way &Which, const Size &Of, NetworkSettings Settings)
      : m_Places(makePlaces(Of)), m_Net(Settings) {
    for (const NodePlace &Each : m_Places) {
      m_Nodes.push_back(Which.m_Make(Each, m_Places));
      m_Net.add(Each.m_Name + ":7120", m_Nodes.back()->node());
    }
    m_Net.runUntil(m_Net.now() + Settle);
  }

  double bytesPerSecond() {
    takeAll();
    m_Net.runUntil(m_Net.now() + Steady);
    return static_cast<double>(takeAll()) / seconds(Steady) /
           static_cast<double>(m_Places.size());
  }

  // Kills a node and waits until every other one of its data centre knows.
  double secondsToKnow(std::size_t Victim) {
    m_Net.kill(m_Places[Victim].m_Name + ":7120");
    m_Gone.push_back(Victim);
    const Instant Begun = m_Net.now();
    while (!allKnow(Victim) && m_Net.now() - Begun < MostWait)
      m_Net.runUntil(m_Net.now() + std::chrono::milliseconds(10));
    return seconds(m_Net.now() - Begun);
  }

  void rest(Duration Time) { m_Net.runUntil(m_Net.now() + Time); }

  std::uint64_t falseSuspicions() const {
    std::uint64_t Sum = 0;
    for (const auto &Each : m_Nodes)
      Sum += Each->falseSuspicions();
    return Sum;
  }

private:
  std::uint64_t takeAll() {
    std::uint64_t Sum = 0;
    for (const NodePlace &Each : m_Places)
      Sum += m_Net.takeBytes(Each.m_Name + ":7120");
    return Sum;
  }

  bool allKnow(std::size_t Victim) const {
    for (std::size_t I = 0; I < m_Places.size(); ++I) {
      const bool Gone =
          std::find(m_Gone.begin(), m_Gone.end(), I) != m_Gone.end();
      if (!Gone && m_Places[I].m_Centre == m_Places[Victim].m_Centre &&
          !m_Nodes[I]->deemsDead(m_Places[Victim].m_Name))
        return false;
    }
    return true;
  }

  NodePlaces m_Places;
  VirtualNetwork m_Net;
  std::vector<std::unique_ptr<MembershipNode>> m_Nodes;
  std::vector<std::size_t> m_Gone;
};

void measure(const Way &Which, const Size &Of) {
  Run Quiet(Which, Of, {});
  const double Bytes = Quiet.bytesPerSecond();
  std::vector<double> Times;
  const std::size_t Deaths = std::min<std::size_t>(5, Of.m_Nodes / 3);
  for (std::size_t I = 0; I < Deaths; ++I) {
    Times.push_back(Quiet.secondsToKnow(I * Of.m_Nodes / Deaths));
    Quiet.rest(std::chrono::seconds(5));
  }
  std::sort(Times.begin(), Times.end());

  NetworkSettings Pausing;
  Pausing.m_MeanBetweenPauses = std::chrono::seconds(60);
  Run Paused(Which, Of, Pausing);
  const std::uint64_t Before = Paused.falseSuspicions();
  // The same number of node-minutes at each size, but for the largest.
  const double Minutes =
      std::max(2.0, 2000.0 / static_cast<double>(Of.m_Nodes));
  Paused.rest(fromSeconds(Minutes * 60));
  const double PerNodeHour =
      static_cast<double>(Paused.falseSuspicions() - Before) * 60 / Minutes /
      static_cast<double>(Of.m_Nodes);
  std::printf("%-34s %5zu %4zu %10.0f %9.2f %9.2f %12.2f\n", Which.m_Name,
              Of.m_Nodes, Of.m_Centres, Bytes, Times[Times.size() / 2],
              Times.back(), PerNodeHour);
  std::fflush(stdout);
}

} // namespace

int main(int Argc, char **Argv) {
  decide::MembershipSettings Adopted;
  Adopted.m_Period = Period;
  Adopted.m_AckTimeout = Timeout;
  decide::MembershipSettings NoConfirm = Adopted;
  NoConfirm.m_ConfirmSuspicions = false;
  decide::MembershipSettings FixedTimeouts = Adopted;
  FixedTimeouts.m_ExtendTimeouts = false;
  const auto ring = [](decide::MembershipSettings With) {
    return [With](const NodePlace &Self, const NodePlaces &All) {
      return makeRing(Self, All, With);
    };
  };
  const Way Ways[] = {
      {"ring, confirmed, growing timeouts", ring(Adopted)},
      {"ring, confirmed, fixed timeouts", ring(FixedTimeouts)},
      {"ring, not confirmed", ring(NoConfirm)},
      {"all to all",
       [](const NodePlace &Self, const NodePlaces &All) {
         return makeAllToAll(Self, All, Period, HeartbeatTimeout);
       }},
      {"ring of the paper", [](const NodePlace &Self, const NodePlaces &All) {
         return makePaperRing(Self, All, Period, Timeout);
       }}};
  std::printf("%-34s %5s %4s %10s %9s %9s %12s\n", "way", "nodes", "dcs",
              "B/s/node", "know p50", "know max", "wrong/node/h");
  for (const Size &Of : {Size{7, 3}, Size{34, 1}, Size{340, 10}})
    for (const Way &Each : Ways)
      if (Argc < 2 || std::to_string(Of.m_Nodes) == Argv[1])
        measure(Each, Of);
}
