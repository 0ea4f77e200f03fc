// Requests that a router abandons after they were sent, while the endpoint does
// not take them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "harness/paused_server.h"
#include "harness/raw_connection.h"
#include "platform/forward_helpers.h"

#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;

namespace {

// More than the receive buffer of an endpoint, less than the send buffer of the
// router: what the endpoint does not take waits in the router's kernel.
constexpr std::size_t BodyBytes = 60000;

std::string plainEntry(const std::string &Address) {
  return R"({"Service":"booking","Address":")" + Address +
         R"(","Zone":"fukuoka","Version":"v1","Slots":192,"Sequence":1,)"
         R"("State":"ready"})";
}

} // namespace

// Guards against requests that reach an endpoint long after their caller left:
// what an endpoint had not taken yet was still delivered after the attempt was
// cancelled.
TEST_CASE("an endpoint takes nothing for a second, and callers leave "
          "meanwhile: their requests are not delivered later") {
  std::string Target = "/look/a";
  SUBCASE("calls that may be repeated") {}
  SUBCASE("calls that run once") { Target = "/book/a"; }
  CAPTURE(Target);
  constexpr int Requests = 4;
  FakePlatform Platform;
  harness::PausedServer Endpoint;
  Platform.put("servers", "paused", plainEntry(Endpoint.address()));
  Platform.configure(1);
  ForwardRouter Router(Platform);
  REQUIRE(harness::waitUntil([&] { return Router.readinessStatus() == 200; }));
  std::vector<std::unique_ptr<harness::RawConnection>> Callers;
  for (int I = 0; I < Requests; ++I) {
    Callers.push_back(
        std::make_unique<harness::RawConnection>(Router.callerAddress()));
    REQUIRE(Callers.back()->send(Target,
                                 requestHeaders("left" + std::to_string(I)),
                                 std::string(BodyBytes, 'x')));
  }
  REQUIRE(harness::waitUntil(
      [&] { return Endpoint.acceptedConnections() == Requests; }));
  std::this_thread::sleep_for(100ms); // the requests are sent
  Callers.clear();
  std::this_thread::sleep_for(DepartureTime);
  CAPTURE(Router.log());
  CHECK(Endpoint.readRequests() == 0);
}
