// Membership over cuts between data centres, one-way cuts, pauses and loss, on
// virtual time.
#include "support/membership_nodes.h"

#include <doctest/doctest.h>
#include <memory>
#include <set>

using namespace mimosadale;
using namespace mimosadale::bench;

namespace {

constexpr std::size_t Centres = 3;
constexpr std::size_t PerCentre = 4;

std::string centreOf(const std::string &Address) {
  return Address.substr(0, 3);
}

// Three data centres with four routers each.
class Fleet {
public:
  explicit Fleet(decide::MembershipSettings Settings = {}) : m_Net({}) {
    for (std::size_t Centre = 0; Centre < Centres; ++Centre)
      for (std::size_t I = 0; I < PerCentre; ++I) {
        const std::string Name =
            "dc" + std::to_string(Centre) + "-r" + std::to_string(I);
        m_Places.push_back({Name, "dc" + std::to_string(Centre)});
      }
    for (const NodeLocation &Each : m_Places) {
      m_Nodes.push_back(makeRing(Each, m_Places, Settings));
      m_Net.add(Each.m_Name + ":7120", m_Nodes.back()->node());
    }
  }

  void run(int Seconds) {
    m_Net.runUntil(m_Net.now() + std::chrono::seconds(Seconds));
  }

  // Whether every living router takes \p Name for dead or unreachable.
  bool allDeem(const std::string &Name, bool Dead,
               const std::string &Centre = "") const {
    for (std::size_t I = 0; I < m_Places.size(); ++I) {
      if (m_Places[I].m_Name == Name || m_Gone.contains(m_Places[I].m_Name) ||
          (!Centre.empty() && m_Places[I].m_DataCentre != Centre))
        continue;
      if (m_Nodes[I]->considersDead(Name) != Dead)
        return false;
    }
    return true;
  }

  bool allAlive() const {
    for (const NodeLocation &Each : m_Places)
      if (!allDeem(Each.m_Name, false))
        return false;
    return true;
  }

  void kill(const std::string &Name) {
    m_Gone.insert(Name);
    m_Net.kill(Name + ":7120");
  }

  NodeLocations m_Places;
  VirtualNetwork m_Net;
  std::vector<std::unique_ptr<MembershipNode>> m_Nodes;
  std::set<std::string> m_Gone;
};

} // namespace

TEST_CASE("membership: all find each other from the seeds") {
  Fleet All;
  All.run(15);
  CHECK(All.allAlive());
}

TEST_CASE("membership: a death is known in its data centre within 2 s") {
  Fleet All;
  All.run(15);
  All.kill("dc1-r2");
  All.run(2);
  CHECK(All.allDeem("dc1-r2", true, "dc1"));
  All.run(10);
  CHECK(All.allDeem("dc1-r2", true));
}

TEST_CASE("membership: every combination of cuts between three data centres") {
  for (unsigned Cut = 1; Cut < 8; ++Cut) {
    CAPTURE(Cut);
    Fleet All;
    All.run(15);
    // Bit 0: dc0 and dc1, bit 1: dc0 and dc2, bit 2: dc1 and dc2.
    All.m_Net.m_LinkFilter = [Cut](const std::string &A, const std::string &B) {
      const std::string Pair = std::min(centreOf(A), centreOf(B)) +
                               std::max(centreOf(A), centreOf(B));
      const unsigned Bit = Pair == "dc0dc1"   ? 1
                           : Pair == "dc0dc2" ? 2
                           : Pair == "dc1dc2" ? 4
                                              : 0;
      return (Cut & Bit) == 0;
    };
    All.run(60);
    // Nobody of the own data centre is lost to a cut elsewhere.
    for (std::size_t I = 0; I < All.m_Places.size(); ++I)
      for (const NodeLocation &Other : All.m_Places)
        if (Other.m_DataCentre == All.m_Places[I].m_DataCentre)
          CHECK_FALSE(All.m_Nodes[I]->considersDead(Other.m_Name));
    All.m_Net.m_LinkFilter = nullptr;
    All.run(60);
    CHECK(All.allAlive());
  }
}

TEST_CASE("membership: a one-way cut between two routers kills nobody") {
  Fleet All;
  All.run(15);
  All.m_Net.m_LinkFilter = [](const std::string &From, const std::string &To) {
    return !(From == "dc0-r0:7120" && To == "dc0-r1:7120");
  };
  bool Ever = false;
  for (int I = 0; I < 60; ++I) {
    All.run(1);
    Ever |= !All.allAlive();
  }
  CHECK_FALSE(Ever);
}

TEST_CASE("membership: a router paused and woken is alive to all again") {
  Fleet All;
  All.run(15);
  All.m_Net.pause("dc2-r3:7120", std::chrono::seconds(5));
  All.run(4);
  CHECK(All.allDeem("dc2-r3", true, "dc2"));
  All.run(10);
  CHECK(All.allAlive());
}

TEST_CASE("membership: a router pinged by nobody it knows still learns news") {
  Fleet All;
  All.run(15);
  for (const char *Each : {"dc0-r1", "dc0-r2"})
    All.kill(Each);
  All.run(5);
  CHECK(All.allDeem("dc0-r1", true, "dc0"));
  CHECK(All.allDeem("dc0-r2", true, "dc0"));
  CHECK(All.allDeem("dc0-r3", false));
}
