// Measures real routers on loopback: what control costs a node at rest, and how
// long an accepted declaration takes to be in force everywhere.
#include "harness/harness.h"
#include "support/figures.h"
#include "support/process_cost.h"

#include <boost/json.hpp>
#include <cstdio>
#include <thread>

using namespace mimosadale;
using harness::Fleet;
using Clock = std::chrono::steady_clock;

namespace {

constexpr auto Settle = std::chrono::seconds(4);
constexpr auto Watched = std::chrono::seconds(10);
constexpr unsigned Endpoints = 43;

// As many routers as asked, spread over three data centres, with endpoints of
// one stand-in process under many names, so that only routers are measured.
struct Installation {
  explicit Installation(unsigned Routers) {
    m_Fleet.m_GossipIntervalMs = 700;
    m_Fleet.m_PlatformPollMs = 1000;
    m_Fleet.startPlatform();
    m_Fleet.startEngine("engine", 0, 12);
    for (unsigned I = 1; I < Endpoints; ++I) {
      auto &Copy = *m_Fleet.m_Declaration.add_endpoints();
      Copy = m_Fleet.m_Declaration.endpoints(0);
      Copy.set_name("engine-" + std::to_string(I));
    }
    for (unsigned I = 0; I < Routers; ++I) {
      m_Names.push_back("r" + std::to_string(I));
      m_Fleet.startRouter(m_Names.back(), "dc" + std::to_string(I % 3),
                          "[log]\nlevel = \"warn\"\n");
    }
    m_Fleet.applyDeclaration();
    m_Fleet.waitReady();
  }

  bool allHave(double Generation) {
    return std::all_of(
        m_Names.begin(), m_Names.end(), [&](const std::string &Each) {
          return m_Fleet.metricSum(Each, "mimosadale_state",
                                   "\"generation\"") >= Generation;
        });
  }

  Fleet m_Fleet;
  std::vector<std::string> m_Names;
};

void measureRest(unsigned Routers) {
  Installation With(Routers);
  std::this_thread::sleep_for(Settle);
  struct Account {
    double m_Cpu;
    double m_Bytes;
  };
  const auto read = [&](const std::string &Name) {
    return Account{
        bench::readCost(With.m_Fleet.process(Name).id()).m_CpuSeconds,
        With.m_Fleet.metricSum(Name, "mimosadale_events_total", "peer_bytes")};
  };
  std::vector<Account> Before;
  for (const std::string &Each : With.m_Names)
    Before.push_back(read(Each));
  std::this_thread::sleep_for(Watched);
  std::vector<double> Cpu;
  std::vector<double> Bytes;
  std::vector<double> Memory;
  const double Time = std::chrono::duration<double>(Watched).count();
  for (std::size_t I = 0; I < With.m_Names.size(); ++I) {
    const Account After = read(With.m_Names[I]);
    Cpu.push_back((After.m_Cpu - Before[I].m_Cpu) / Time * 100);
    Bytes.push_back((After.m_Bytes - Before[I].m_Bytes) / Time);
    Memory.push_back(bench::readCost(With.m_Fleet.process(With.m_Names[I]).id())
                         .m_ResidentMb);
  }
  std::printf("rest      %3u routers: core %% p50 %.2f max %.2f; peer B/s p50 "
              "%.0f max %.0f; resident MB p50 %.1f max %.1f\n",
              Routers, bench::quantile(Cpu, 0.5), bench::quantile(Cpu, 1),
              bench::quantile(Bytes, 0.5), bench::quantile(Bytes, 1),
              bench::quantile(Memory, 0.5), bench::quantile(Memory, 1));
  std::fflush(stdout);
}

// Times applies until every router shows the generation.
void measureApplies(unsigned Routers, unsigned Applies, const char *Name,
                    const std::string &PlatformFault) {
  Installation With(Routers);
  std::this_thread::sleep_for(Settle);
  With.m_Fleet.injectFault(With.m_Fleet.platformAddress(), PlatformFault);
  std::vector<double> Times;
  for (unsigned I = 0; I < Applies; ++I) {
    With.m_Fleet.m_Declaration.mutable_workspaces(0)->set_weight(1 + I % 7);
    With.m_Fleet.applyDeclaration();
    const auto Accepted = Clock::now();
    while (!With.allHave(2 + I))
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    Times.push_back(
        std::chrono::duration<double>(Clock::now() - Accepted).count());
  }
  std::printf("in force  %3u routers, %u applies, %s: p50 %.3f s, p95 %.3f s, "
              "max %.3f s\n",
              Routers, Applies, Name, bench::quantile(Times, 0.5),
              bench::quantile(Times, 0.95), bench::quantile(Times, 1));
  std::fflush(stdout);
}

} // namespace

int main() {
  for (const unsigned Routers : {7u, 14u, 28u})
    measureRest(Routers);
  measureApplies(7, 100, "healthy platform", "{}");
  measureApplies(7, 30, "platform answers after 100 ms",
                 R"({"delay_ms": 100})");
}
