// Measures real routers on loopback: CPU time, peer traffic and memory of an
// idle router, and the time until an accepted declaration is in force on all
// routers.
#include "harness/harness.h"
#include "support/process_cost.h"
#include "support/statistics.h"

#include <boost/json.hpp>
#include <cstdio>
#include <thread>

using namespace mimosadale;
using harness::Fleet;
using Clock = std::chrono::steady_clock;

namespace {

constexpr auto SettleTime = std::chrono::seconds(4);
constexpr auto MeasurementTime = std::chrono::seconds(10);
constexpr unsigned EndpointCount = 43;

// Routers distributed over three data centres. All endpoints are names of one
// stand-in process, so that engine processes do not distort the measurement.
struct Installation {
  explicit Installation(unsigned Routers) {
    m_Fleet.m_GossipIntervalMs = 700;
    m_Fleet.m_PlatformPollMs = 1000;
    m_Fleet.startPlatform();
    m_Fleet.startEngine("engine", 0, 12);
    for (unsigned I = 1; I < EndpointCount; ++I) {
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

  bool allInForce(double Generation) {
    return std::all_of(
        m_Names.begin(), m_Names.end(), [&](const std::string &Name) {
          return m_Fleet.metricSum(Name, "mimosadale_state",
                                   "\"generation\"") >= Generation;
        });
  }

  Fleet m_Fleet;
  std::vector<std::string> m_Names;
};

void measureIdle(unsigned Routers) {
  Installation Setup(Routers);
  std::this_thread::sleep_for(SettleTime);
  struct Usage {
    double m_CpuSeconds;
    double m_PeerBytes;
  };
  const auto readUsage = [&](const std::string &Name) {
    return Usage{
        bench::readCost(Setup.m_Fleet.process(Name).id()).m_CpuSeconds,
        Setup.m_Fleet.metricSum(Name, "mimosadale_events_total", "peer_bytes")};
  };
  std::vector<Usage> Before;
  for (const std::string &Name : Setup.m_Names)
    Before.push_back(readUsage(Name));
  std::this_thread::sleep_for(MeasurementTime);
  std::vector<double> CpuPercent;
  std::vector<double> BytesPerSecond;
  std::vector<double> ResidentMb;
  const double Seconds = std::chrono::duration<double>(MeasurementTime).count();
  for (std::size_t I = 0; I < Setup.m_Names.size(); ++I) {
    const Usage After = readUsage(Setup.m_Names[I]);
    CpuPercent.push_back((After.m_CpuSeconds - Before[I].m_CpuSeconds) /
                         Seconds * 100);
    BytesPerSecond.push_back((After.m_PeerBytes - Before[I].m_PeerBytes) /
                             Seconds);
    ResidentMb.push_back(
        bench::readCost(Setup.m_Fleet.process(Setup.m_Names[I]).id())
            .m_ResidentMb);
  }
  std::printf(
      "rest      %3u routers: core %% p50 %.2f max %.2f; peer B/s p50 "
      "%.0f max %.0f; resident MB p50 %.1f max %.1f\n",
      Routers, bench::quantile(CpuPercent, 0.5), bench::quantile(CpuPercent, 1),
      bench::quantile(BytesPerSecond, 0.5), bench::quantile(BytesPerSecond, 1),
      bench::quantile(ResidentMb, 0.5), bench::quantile(ResidentMb, 1));
  std::fflush(stdout);
}

// Measures the time from the acceptance of a declaration until every router
// reports its generation.
void measureApplyTime(unsigned Routers, unsigned Applies, const char *Condition,
                      const std::string &PlatformFault) {
  Installation Setup(Routers);
  std::this_thread::sleep_for(SettleTime);
  Setup.m_Fleet.injectFault(Setup.m_Fleet.platformAddress(), PlatformFault);
  std::vector<double> Latencies;
  for (unsigned I = 0; I < Applies; ++I) {
    Setup.m_Fleet.m_Declaration.mutable_workspaces(0)->set_weight(1 + I % 7);
    Setup.m_Fleet.applyDeclaration();
    const auto AcceptedAt = Clock::now();
    while (!Setup.allInForce(2 + I))
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    Latencies.push_back(
        std::chrono::duration<double>(Clock::now() - AcceptedAt).count());
  }
  std::printf("in force  %3u routers, %u applies, %s: p50 %.3f s, p95 %.3f s, "
              "max %.3f s\n",
              Routers, Applies, Condition, bench::quantile(Latencies, 0.5),
              bench::quantile(Latencies, 0.95), bench::quantile(Latencies, 1));
  std::fflush(stdout);
}

} // namespace

int main() {
  for (const unsigned Routers : {7u, 14u, 28u})
    measureIdle(Routers);
  measureApplyTime(7, 100, "healthy platform", "{}");
  measureApplyTime(7, 30, "platform answers after 100 ms",
                   R"({"delay_ms": 100})");
}
