// Measures load above capacity: goodput relative to capacity, shares of the
// workspaces relative to their weights, and whether requests answered with
// "not run" did not reach the engine.
#include "harness/harness.h"
#include "support/statistics.h"

#include <atomic>
#include <boost/json.hpp>
#include <cstdio>
#include <thread>

using namespace mimosadale;
using harness::Fleet;
using Clock = std::chrono::steady_clock;

namespace {

constexpr double EnginePositionsPerSecond = 600;
constexpr unsigned TokensPerRequest = 10;
constexpr unsigned PromptTokens = 4; // "user: p assistant:" has three words
constexpr double LoadSeconds = 8;
constexpr double CapacityRequestsPerSecond =
    EnginePositionsPerSecond / (TokensPerRequest + PromptTokens - 2);

struct WorkspaceCounts {
  std::atomic<unsigned> m_Offered = 0;
  std::atomic<unsigned> m_Served = 0;
  std::atomic<unsigned> m_NotRun = 0;
  std::atomic<unsigned> m_Other = 0;
};

void measure(double Factor) {
  Fleet TestFleet;
  TestFleet.m_Declaration.mutable_workspaces(0)->set_weight(3);
  TestFleet.startPlatform();
  TestFleet.startEngine("e", 0, 12, EnginePositionsPerSecond);
  TestFleet.startRouter(
      "r", "fukuoka",
      "[limits]\nconcurrent_requests = 8\nqueued_requests = 64\n"
      "[log]\nlevel = \"error\"\n");
  TestFleet.applyDeclaration();
  TestFleet.waitReady();
  WorkspaceCounts CountsByWorkspace[2];
  const char *const Workspaces[2] = {"counter", "desk"};
  std::atomic<unsigned> Next = 0;
  const double PerSecond = CapacityRequestsPerSecond * Factor;
  const auto Total = static_cast<unsigned>(PerSecond * LoadSeconds);
  const auto Start = Clock::now();
  std::vector<std::thread> Threads;
  for (unsigned T = 0; T < 256; ++T)
    Threads.emplace_back([&] {
      for (unsigned I = Next++; I < Total; I = Next++) {
        std::this_thread::sleep_until(
            Start + std::chrono::duration_cast<Clock::duration>(
                        std::chrono::duration<double>(I / PerSecond)));
        WorkspaceCounts &Counts = CountsByWorkspace[I % 2];
        ++Counts.m_Offered;
        auto Headers = TestFleet.authHeaders(Workspaces[I % 2]);
        Headers.push_back({"Mimosadale-Timeout-Ms", "1500"});
        const auto Answer = harness::sendRequest(
            "POST", TestFleet.callerAddress("r"), "/v1/chat/completions",
            Headers, Fleet::completionBody("p", TokensPerRequest, I, false));
        const std::string State =
            net::findHeader(Answer.m_Headers, "Mimosadale-Run-State");
        if (Answer.m_Status == 200)
          ++Counts.m_Served;
        else if (State == "not_run")
          ++Counts.m_NotRun;
        else
          ++Counts.m_Other;
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  const double ElapsedSeconds =
      std::chrono::duration<double>(Clock::now() - Start).count();
  const unsigned Served =
      CountsByWorkspace[0].m_Served + CountsByWorkspace[1].m_Served;
  const unsigned Other =
      CountsByWorkspace[0].m_Other + CountsByWorkspace[1].m_Other;
  const auto Report = boost::json::parse(
      harness::sendRequest("GET", TestFleet.endpointAddress("e"),
                           "/standin/report")
          .m_Body);
  const auto EngineRequests = Report.at("new_sequences").to_number<unsigned>();
  std::printf("overload %.0fx: %u served, %.2f of capacity; share of the "
              "workspace of weight 3: %.2f (0.75 is fair); %u not run, %u "
              "otherwise; engine saw %u requests, %s\n",
              Factor, Served,
              Served / ElapsedSeconds / CapacityRequestsPerSecond,
              static_cast<double>(CountsByWorkspace[0].m_Served) / Served,
              CountsByWorkspace[0].m_NotRun + CountsByWorkspace[1].m_NotRun,
              Other, EngineRequests,
              EngineRequests <= Served + Other ? "none of those said not run"
                                               : "more than it may");
  std::fflush(stdout);
}

} // namespace

int main() {
  for (const double Factor : {1.0, 2.0, 3.0, 5.0})
    measure(Factor);
}
