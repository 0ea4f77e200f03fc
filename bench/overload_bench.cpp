// Measures bursts above capacity: answers in time against capacity, shares of
// workspaces against their weights, and whether "not run" is true.
#include "harness/harness.h"
#include "support/figures.h"

#include <atomic>
#include <boost/json.hpp>
#include <cstdio>
#include <thread>

using namespace mimosadale;
using harness::Fleet;
using Clock = std::chrono::steady_clock;

namespace {

constexpr double Rate = 600; // positions a second of the one engine
constexpr unsigned Tokens = 10;
constexpr unsigned PromptTokens = 4; // "user: p assistant:" has three words
constexpr double Time = 8;           // seconds of offered load
constexpr double CapacityRequests = Rate / (Tokens + PromptTokens - 2);

struct Tally {
  std::atomic<unsigned> m_Offered = 0;
  std::atomic<unsigned> m_Served = 0;
  std::atomic<unsigned> m_NotRun = 0;
  std::atomic<unsigned> m_Other = 0;
};

void measure(double Factor) {
  Fleet With;
  With.m_Declaration.mutable_workspaces(0)->set_weight(3);
  With.startPlatform();
  With.startEngine("e", 0, 12, Rate);
  With.startRouter("r", "fukuoka",
                   "[limits]\nconcurrent_requests = 8\nqueued_requests = 64\n"
                   "[log]\nlevel = \"error\"\n");
  With.applyDeclaration();
  With.waitReady();
  Tally Tallies[2];
  const char *const Names[2] = {"counter", "desk"};
  std::atomic<unsigned> Next = 0;
  const double PerSecond = CapacityRequests * Factor;
  const auto Total = static_cast<unsigned>(PerSecond * Time);
  const auto Begun = Clock::now();
  std::vector<std::thread> Threads;
  for (unsigned T = 0; T < 256; ++T)
    Threads.emplace_back([&] {
      for (unsigned I = Next++; I < Total; I = Next++) {
        std::this_thread::sleep_until(
            Begun + std::chrono::duration_cast<Clock::duration>(
                        std::chrono::duration<double>(I / PerSecond)));
        Tally &Own = Tallies[I % 2];
        ++Own.m_Offered;
        auto Headers = With.authHeaders(Names[I % 2]);
        Headers.push_back({"Mimosadale-Timeout-Ms", "1500"});
        const auto Answer = harness::sendRequest(
            "POST", With.callerAddress("r"), "/v1/chat/completions", Headers,
            Fleet::completionBody("p", Tokens, I, false));
        const std::string State =
            net::findHeader(Answer.m_Headers, "Mimosadale-Run-State");
        if (Answer.m_Status == 200)
          ++Own.m_Served;
        else if (State == "not_run")
          ++Own.m_NotRun;
        else
          ++Own.m_Other;
      }
    });
  for (std::thread &Each : Threads)
    Each.join();
  const double Taken =
      std::chrono::duration<double>(Clock::now() - Begun).count();
  const unsigned Served = Tallies[0].m_Served + Tallies[1].m_Served;
  const unsigned Other = Tallies[0].m_Other + Tallies[1].m_Other;
  const auto Report = boost::json::parse(
      harness::sendRequest("GET", With.endpointAddress("e"), "/standin/report")
          .m_Body);
  const auto Begun2 = Report.at("new_sequences").to_number<unsigned>();
  std::printf("overload %.0fx: %u served, %.2f of capacity; share of the "
              "workspace of weight 3: %.2f (0.75 is fair); %u not run, %u "
              "otherwise; engine saw %u requests, %s\n",
              Factor, Served, Served / Taken / CapacityRequests,
              static_cast<double>(Tallies[0].m_Served) / Served,
              Tallies[0].m_NotRun + Tallies[1].m_NotRun, Other, Begun2,
              Begun2 <= Served + Other ? "none of those said not run"
                                       : "more than it may");
  std::fflush(stdout);
}

} // namespace

int main() {
  for (const double Factor : {1.0, 2.0, 3.0, 5.0})
    measure(Factor);
}
