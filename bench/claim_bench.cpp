// Measures claimed calls: time added, writes of the table for each call, calls
// that a limited table carries, and the time until calls flow after an outage.
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

const char *const Target = "/v1/services/booking/deposits";
constexpr unsigned Callers = 32;

struct Booking {
  explicit Booking(unsigned Routers) {
    m_Fleet.startPlatform();
    auto &Free = *m_Fleet.m_Declaration.add_services();
    Free.set_name("lookup");
    Free.set_calls(schema::REPEATABLE);
    Free.set_timeout_ms(3000);
    m_Fleet.startService("booking-1", "booking");
    m_Fleet.startService("lookup-1", "lookup");
    for (unsigned I = 0; I < Routers; ++I) {
      m_Routers.push_back("r" + std::to_string(I));
      m_Fleet.startRouter(m_Routers.back(), "fukuoka",
                          "[log]\nlevel = \"error\"\n");
    }
    m_Fleet.applyDeclaration();
    m_Fleet.waitReady();
  }

  unsigned call(const std::string &Router, const std::string &Where,
                const std::string &Key) {
    auto Headers = m_Fleet.authHeaders();
    Headers.push_back({"Idempotency-Key", Key});
    return harness::sendRequest("POST", m_Fleet.callerAddress(Router), Where,
                                Headers, "seat")
        .m_Status;
  }

  boost::json::object tableStats() {
    return boost::json::parse(harness::sendRequest("GET",
                                                   m_Fleet.platformAddress(),
                                                   "/standin/stats")
                                  .m_Body)
        .as_object();
  }

  Fleet m_Fleet;
  std::vector<std::string> m_Routers;
};

double seconds(Clock::duration Value) {
  return std::chrono::duration<double>(Value).count();
}

void measureAddedTime() {
  Booking With(1);
  std::vector<double> Plain;
  std::vector<double> Claimed;
  for (unsigned I = 0; I < 200; ++I) {
    const auto Begun = Clock::now();
    With.call("r0", "/v1/services/lookup/x", "");
    const auto Middle = Clock::now();
    With.call("r0", Target, "added-" + std::to_string(I));
    Plain.push_back(seconds(Middle - Begun) * 1000);
    Claimed.push_back(seconds(Clock::now() - Middle) * 1000);
  }
  std::printf("added time: unclaimed p50 %.2f ms p95 %.2f ms; claimed p50 %.2f "
              "ms p95 %.2f ms\n",
              bench::quantile(Plain, 0.5), bench::quantile(Plain, 0.95),
              bench::quantile(Claimed, 0.5), bench::quantile(Claimed, 0.95));
}

// Offers calls at a rate for a while, spread over the routers.
struct Offered {
  unsigned m_Calls = 0;
  unsigned m_Answered = 0;
};

Offered offer(Booking &With, double PerSecond, double Time,
              const std::string &Prefix) {
  std::atomic<unsigned> Next = 0;
  std::atomic<unsigned> Answered = 0;
  const auto Begun = Clock::now();
  const auto Total = static_cast<unsigned>(PerSecond * Time);
  std::vector<std::thread> Threads;
  for (unsigned T = 0; T < Callers; ++T)
    Threads.emplace_back([&] {
      for (unsigned I = Next++; I < Total; I = Next++) {
        std::this_thread::sleep_until(
            Begun + std::chrono::duration_cast<Clock::duration>(
                        std::chrono::duration<double>(I / PerSecond)));
        const std::string &Router = With.m_Routers[I % With.m_Routers.size()];
        Answered +=
            With.call(Router, Target, Prefix + std::to_string(I)) == 201;
      }
    });
  for (std::thread &Each : Threads)
    Each.join();
  return {Total, Answered};
}

void measureWrites() {
  for (const double Rate : {10.0, 50.0, 100.0, 200.0}) {
    Booking With(1);
    const auto Before =
        With.tableStats().at("transactions").to_number<double>();
    const Offered Done = offer(With, Rate, 5, "writes-");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const auto After = With.tableStats().at("transactions").to_number<double>();
    std::printf("writes: %.0f calls/s on one router: %.2f transactions a call "
                "(%u of %u answered)\n",
                Rate, (After - Before) / Done.m_Calls, Done.m_Answered,
                Done.m_Calls);
    std::fflush(stdout);
  }
}

void measureLimitedTable() {
  for (const double Rate : {100.0, 300.0, 600.0}) {
    Booking With(2);
    With.m_Fleet.injectFault(With.m_Fleet.platformAddress(),
                             R"({"writes_per_second": 300})");
    const auto Begun = Clock::now();
    const Offered Done = offer(With, Rate, 5, "limited-");
    std::printf(
        "limited: table of 300 writes/s, %.0f calls/s offered to two "
        "routers: %.0f calls/s answered, %s refused by the table\n",
        Rate, Done.m_Answered / seconds(Clock::now() - Begun),
        boost::json::serialize(With.tableStats().at("limited")).c_str());
    std::fflush(stdout);
  }
}

void measureOutage() {
  std::vector<double> Times;
  double Steady = 0;
  double Peak = 0;
  for (unsigned Round = 0; Round < 5; ++Round) {
    Booking With(2);
    const std::string Prefix = "outage-" + std::to_string(Round) + "-";
    const auto transactions = [&] {
      return With.tableStats().at("transactions").to_number<double>();
    };
    std::thread Load([&] { offer(With, 100, 9, Prefix); });
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const double Before = transactions();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    Steady = std::max(Steady, (transactions() - Before) / 2);
    With.m_Fleet.injectFault(With.m_Fleet.platformAddress(), R"({"down": 1})");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    With.m_Fleet.injectFault(With.m_Fleet.platformAddress(), R"({"down": 0})");
    const auto Ended = Clock::now();
    const double AtEnd = transactions();
    unsigned Probe = 0;
    while (With.call("r0", Target, Prefix + "p" + std::to_string(Probe++)) !=
           201)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    Times.push_back(seconds(Clock::now() - Ended));
    std::this_thread::sleep_until(Ended + std::chrono::seconds(1));
    Peak = std::max(Peak, transactions() - AtEnd);
    Load.join();
  }
  std::printf("outage: calls flow again after p50 %.3f s, max %.3f s; table "
              "load %.0f transactions/s steady, %.0f in the first second "
              "after it (ratio %.2f)\n",
              bench::quantile(Times, 0.5), bench::quantile(Times, 1), Steady,
              Peak, Peak / Steady);
}

} // namespace

int main() {
  measureAddedTime();
  measureWrites();
  measureLimitedTable();
  measureOutage();
}
