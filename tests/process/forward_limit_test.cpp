// Endpoints that name how many requests a second they take from all routers
// together.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/forward_helpers.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

// The users' rule: from this long after an endpoint first named its limit, no
// window of this length holds more than one and a half times what the limit
// allows, and a few requests.
constexpr auto SettlingTime = 3s;
constexpr auto Window = 4s;
constexpr double AllowedFactor = 1.5;
constexpr double AllowedExtra = 5;

// The most arrivals in a window that ends after the settling time.
std::size_t mostInWindow(const std::vector<Clock::time_point> &Arrivals,
                         Clock::time_point NamedAt) {
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Arrivals.size(); ++Last) {
    while (Arrivals[Last] - Arrivals[First] >= Window)
      ++First;
    if (Arrivals[Last] >= NamedAt + SettlingTime)
      Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

double allowed(double PerSecond) {
  return AllowedFactor * PerSecond *
             std::chrono::duration<double>(Window).count() +
         AllowedExtra;
}

// Callers that send lookups to several routers, each at its own interval, until
// destroyed.
class Callers {
public:
  void press(const ForwardRouter &Router, std::chrono::milliseconds Interval) {
    m_Threads.emplace_back([this, Address = Router.callerAddress(), Interval] {
      auto Next = Clock::now();
      while (!m_Stop) {
        const std::string Id = "l" + std::to_string(++m_Sent);
        const auto Answer =
            harness::sendRequest("GET", Address, "/look/a", requestHeaders(Id));
        ++(Answer.m_Status == 200 ? m_Served : m_NotServed);
        if (Answer.m_Status == 503 &&
            net::findHeader(Answer.m_Headers, "Retry-After").empty())
          ++m_WithoutReturn;
        Next += Interval;
        std::this_thread::sleep_until(Next);
      }
    });
  }

  ~Callers() { stop(); }

  void stop() {
    m_Stop = true;
    for (std::thread &Thread : m_Threads)
      Thread.join();
    m_Threads.clear();
  }

  std::atomic<int> m_Sent = 0;
  std::atomic<int> m_Served = 0;
  std::atomic<int> m_NotServed = 0;
  std::atomic<int> m_WithoutReturn = 0;

private:
  std::atomic<bool> m_Stop = false;
  std::vector<std::thread> m_Threads;
};

} // namespace

// Guards against routers that ignore a limit, or that each take all of it:
// the endpoint then gets as much as before, or as many times its limit as there
// are routers.
TEST_CASE("an endpoint names a limit: three routers together keep it, and the "
          "other endpoint serves the rest") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  ForwardRouter R1(Platform, "r1");
  ForwardRouter R2(Platform, "r2");
  ForwardRouter R3(Platform, "r3");
  for (ForwardRouter *Router : {&R1, &R2, &R3}) {
    waitUntilServing(*Router);
    REQUIRE(harness::waitUntil([&] { return knownRouterCount(*Router) == 3; }));
  }
  constexpr double Limit = 3;
  Callers Press;
  Press.press(R1, 20ms);
  Press.press(R2, 40ms);
  Press.press(R3, 100ms);
  std::this_thread::sleep_for(500ms);
  const auto NamedAt = Clock::now();
  Platform.nameLimit("b1", Limit);
  std::this_thread::sleep_for(SettlingTime + 2 * Window);
  Press.stop();
  const std::size_t Most = mostInWindow(Platform.arrivals("b1"), NamedAt);
  CAPTURE(R1.log());
  CHECK(static_cast<double>(Most) <= allowed(Limit));
  CHECK(Press.m_NotServed == 0);
}
