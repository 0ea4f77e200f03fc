// Membership under network cuts between data centres, one-way cuts, pauses and
// crashes, on virtual time.
#include "support/membership_nodes.h"

#include <doctest/doctest.h>
#include <memory>
#include <set>

using namespace mimosadale;
using namespace mimosadale::bench;

namespace {

constexpr std::size_t DataCentres = 3;
constexpr std::size_t RoutersPerDataCentre = 4;

std::string dataCentreOf(const std::string &Address) {
  return Address.substr(0, 3);
}

// Three data centres with four routers each.
class Cluster {
public:
  explicit Cluster(decide::MembershipSettings Settings = {}) : m_Net({}) {
    for (std::size_t DataCentre = 0; DataCentre < DataCentres; ++DataCentre)
      for (std::size_t I = 0; I < RoutersPerDataCentre; ++I) {
        const std::string Name =
            "dc" + std::to_string(DataCentre) + "-r" + std::to_string(I);
        m_Places.push_back({Name, "dc" + std::to_string(DataCentre)});
      }
    for (const NodeLocation &Place : m_Places) {
      m_Nodes.push_back(makeRing(Place, m_Places, Settings));
      m_Net.add(Place.m_Name + ":7120", m_Nodes.back()->node());
    }
  }

  void run(int Seconds) {
    m_Net.runUntil(m_Net.now() + std::chrono::seconds(Seconds));
  }

  // Returns whether every other running router, of all or of one \p DataCentre,
  // considers \p Name dead or unreachable (\p Dead) or alive.
  bool allConsider(const std::string &Name, bool Dead,
                   const std::string &DataCentre = "") const {
    for (std::size_t I = 0; I < m_Places.size(); ++I) {
      if (m_Places[I].m_Name == Name || m_Killed.contains(m_Places[I].m_Name) ||
          (!DataCentre.empty() && m_Places[I].m_DataCentre != DataCentre))
        continue;
      if (m_Nodes[I]->considersDead(Name) != Dead)
        return false;
    }
    return true;
  }

  bool allAlive() const {
    for (const NodeLocation &Place : m_Places)
      if (!allConsider(Place.m_Name, false))
        return false;
    return true;
  }

  void kill(const std::string &Name) {
    m_Killed.insert(Name);
    m_Net.kill(Name + ":7120");
  }

  NodeLocations m_Places;
  VirtualNetwork m_Net;
  std::vector<std::unique_ptr<MembershipNode>> m_Nodes;
  std::set<std::string> m_Killed;
};

} // namespace

TEST_CASE("membership: all routers find each other from the seeds") {
  Cluster Routers;
  Routers.run(15);
  CHECK(Routers.allAlive());
}

TEST_CASE("membership: a router that dies is known as dead in its data centre "
          "within 2 s") {
  Cluster Routers;
  Routers.run(15);
  Routers.kill("dc1-r2");
  Routers.run(2);
  CHECK(Routers.allConsider("dc1-r2", true, "dc1"));
  Routers.run(10);
  CHECK(Routers.allConsider("dc1-r2", true));
}

TEST_CASE("membership: every combination of cuts between data centres leaves "
          "each one intact and heals afterwards") {
  for (unsigned Cut = 1; Cut < 8; ++Cut) {
    CAPTURE(Cut);
    Cluster Routers;
    Routers.run(15);
    // Bit 0 cuts dc0 from dc1, bit 1 dc0 from dc2, bit 2 dc1 from dc2.
    Routers.m_Net.m_LinkFilter = [Cut](const std::string &A,
                                       const std::string &B) {
      const std::string Pair = std::min(dataCentreOf(A), dataCentreOf(B)) +
                               std::max(dataCentreOf(A), dataCentreOf(B));
      const unsigned Bit = Pair == "dc0dc1"   ? 1
                           : Pair == "dc0dc2" ? 2
                           : Pair == "dc1dc2" ? 4
                                              : 0;
      return (Cut & Bit) == 0;
    };
    Routers.run(60);
    // A cut between data centres makes no router of the same data centre count
    // as dead.
    for (std::size_t I = 0; I < Routers.m_Places.size(); ++I)
      for (const NodeLocation &Other : Routers.m_Places)
        if (Other.m_DataCentre == Routers.m_Places[I].m_DataCentre)
          CHECK_FALSE(Routers.m_Nodes[I]->considersDead(Other.m_Name));
    Routers.m_Net.m_LinkFilter = nullptr;
    Routers.run(60);
    CHECK(Routers.allAlive());
  }
}

TEST_CASE("membership: a one-way cut between two routers makes no router count "
          "as dead") {
  Cluster Routers;
  Routers.run(15);
  Routers.m_Net.m_LinkFilter = [](const std::string &From,
                                  const std::string &To) {
    return !(From == "dc0-r0:7120" && To == "dc0-r1:7120");
  };
  bool SeenDead = false;
  for (int I = 0; I < 60; ++I) {
    Routers.run(1);
    SeenDead |= !Routers.allAlive();
  }
  CHECK_FALSE(SeenDead);
}

TEST_CASE(
    "membership: a router that resumes after a pause is alive to all again") {
  Cluster Routers;
  Routers.run(15);
  Routers.m_Net.pause("dc2-r3:7120", std::chrono::seconds(5));
  Routers.run(4);
  CHECK(Routers.allConsider("dc2-r3", true, "dc2"));
  Routers.run(10);
  CHECK(Routers.allAlive());
}

TEST_CASE(
    "membership: a router whose known peers are dead still receives gossip") {
  Cluster Routers;
  Routers.run(15);
  for (const char *Name : {"dc0-r1", "dc0-r2"})
    Routers.kill(Name);
  Routers.run(5);
  CHECK(Routers.allConsider("dc0-r1", true, "dc0"));
  CHECK(Routers.allConsider("dc0-r2", true, "dc0"));
  CHECK(Routers.allConsider("dc0-r3", false));
}
