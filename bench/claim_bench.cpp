// Measures claimed calls: added latency, table transactions per call,
// throughput with a rate-limited table, and recovery time after an outage of
// the platform.
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

const char *const BookingPath = "/v1/services/booking/deposits";
constexpr unsigned CallerThreads = 32;

struct BookingFixture {
  explicit BookingFixture(unsigned Routers) {
    m_Fleet.startPlatform();
    auto &LookupService = *m_Fleet.m_Declaration.add_services();
    LookupService.set_name("lookup");
    LookupService.set_calls(schema::REPEATABLE);
    LookupService.set_timeout_ms(3000);
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

  unsigned call(const std::string &Router, const std::string &Path,
                const std::string &Key) {
    auto Headers = m_Fleet.authHeaders();
    Headers.push_back({"Idempotency-Key", Key});
    return harness::sendRequest("POST", m_Fleet.callerAddress(Router), Path,
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
  BookingFixture Fixture(1);
  std::vector<double> UnclaimedMs;
  std::vector<double> ClaimedMs;
  for (unsigned I = 0; I < 200; ++I) {
    const auto UnclaimedStart = Clock::now();
    Fixture.call("r0", "/v1/services/lookup/x", "");
    const auto ClaimedStart = Clock::now();
    Fixture.call("r0", BookingPath, "added-" + std::to_string(I));
    UnclaimedMs.push_back(seconds(ClaimedStart - UnclaimedStart) * 1000);
    ClaimedMs.push_back(seconds(Clock::now() - ClaimedStart) * 1000);
  }
  std::printf(
      "added time: unclaimed p50 %.2f ms p95 %.2f ms; claimed p50 %.2f "
      "ms p95 %.2f ms\n",
      bench::quantile(UnclaimedMs, 0.5), bench::quantile(UnclaimedMs, 0.95),
      bench::quantile(ClaimedMs, 0.5), bench::quantile(ClaimedMs, 0.95));
}

struct LoadResult {
  unsigned m_Calls = 0;
  unsigned m_Answered = 0;
};

// Offers claimed calls at a fixed rate, distributed round robin over the
// routers. Each call has its own key.
LoadResult offerLoad(BookingFixture &Fixture, double CallsPerSecond,
                     double Seconds, const std::string &KeyPrefix) {
  std::atomic<unsigned> NextCall = 0;
  std::atomic<unsigned> Answered = 0;
  const auto Start = Clock::now();
  const auto Total = static_cast<unsigned>(CallsPerSecond * Seconds);
  std::vector<std::thread> Threads;
  for (unsigned T = 0; T < CallerThreads; ++T)
    Threads.emplace_back([&] {
      for (unsigned I = NextCall++; I < Total; I = NextCall++) {
        std::this_thread::sleep_until(
            Start + std::chrono::duration_cast<Clock::duration>(
                        std::chrono::duration<double>(I / CallsPerSecond)));
        const std::string &Router =
            Fixture.m_Routers[I % Fixture.m_Routers.size()];
        Answered += Fixture.call(Router, BookingPath,
                                 KeyPrefix + std::to_string(I)) == 201;
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  return {Total, Answered};
}

void measureWrites() {
  for (const double Rate : {10.0, 50.0, 100.0, 200.0}) {
    BookingFixture Fixture(1);
    const auto Before =
        Fixture.tableStats().at("transactions").to_number<double>();
    const LoadResult Result = offerLoad(Fixture, Rate, 5, "writes-");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const auto After =
        Fixture.tableStats().at("transactions").to_number<double>();
    std::printf("writes: %.0f calls/s on one router: %.2f transactions a call "
                "(%u of %u answered)\n",
                Rate, (After - Before) / Result.m_Calls, Result.m_Answered,
                Result.m_Calls);
    std::fflush(stdout);
  }
}

void measureLimitedTable() {
  for (const double Rate : {100.0, 300.0, 600.0}) {
    BookingFixture Fixture(2);
    Fixture.m_Fleet.injectFault(Fixture.m_Fleet.platformAddress(),
                                R"({"writes_per_second": 300})");
    const auto Start = Clock::now();
    const LoadResult Result = offerLoad(Fixture, Rate, 5, "limited-");
    std::printf(
        "limited: table of 300 writes/s, %.0f calls/s offered to two "
        "routers: %.0f calls/s answered, %s refused by the table\n",
        Rate, Result.m_Answered / seconds(Clock::now() - Start),
        boost::json::serialize(Fixture.tableStats().at("limited")).c_str());
    std::fflush(stdout);
  }
}

void measureOutage() {
  std::vector<double> RecoveryTimes;
  double SteadyRate = 0;
  double PeakRate = 0;
  for (unsigned Round = 0; Round < 5; ++Round) {
    BookingFixture Fixture(2);
    const std::string KeyPrefix = "outage-" + std::to_string(Round) + "-";
    const auto readTransactions = [&] {
      return Fixture.tableStats().at("transactions").to_number<double>();
    };
    std::thread LoadThread([&] { offerLoad(Fixture, 100, 9, KeyPrefix); });
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const double Before = readTransactions();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    SteadyRate = std::max(SteadyRate, (readTransactions() - Before) / 2);
    Fixture.m_Fleet.injectFault(Fixture.m_Fleet.platformAddress(),
                                R"({"down": 1})");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    Fixture.m_Fleet.injectFault(Fixture.m_Fleet.platformAddress(),
                                R"({"down": 0})");
    const auto OutageEnd = Clock::now();
    const double AtOutageEnd = readTransactions();
    unsigned Probe = 0;
    while (Fixture.call("r0", BookingPath,
                        KeyPrefix + "p" + std::to_string(Probe++)) != 201)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    RecoveryTimes.push_back(seconds(Clock::now() - OutageEnd));
    std::this_thread::sleep_until(OutageEnd + std::chrono::seconds(1));
    PeakRate = std::max(PeakRate, readTransactions() - AtOutageEnd);
    LoadThread.join();
  }
  std::printf("outage: calls flow again after p50 %.3f s, max %.3f s; table "
              "load %.0f transactions/s steady, %.0f in the first second "
              "after it (ratio %.2f)\n",
              bench::quantile(RecoveryTimes, 0.5),
              bench::quantile(RecoveryTimes, 1), SteadyRate, PeakRate,
              PeakRate / SteadyRate);
}

} // namespace

int main() {
  measureAddedTime();
  measureWrites();
  measureLimitedTable();
  measureOutage();
}
