// Streams that another router serves for one that reaches no endpoint, when the
// other router, its endpoints or the retry budget fail as well.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/cut_off_router.h"

#include <doctest/doctest.h>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;

namespace {

// Deadline of a caller, shorter than the default.
harness::Headers shortHeaders(const std::string &RequestId) {
  harness::Headers Headers = requestHeaders(RequestId, "key", 400);
  for (net::HttpHeader &Header : Headers)
    if (Header.m_Name == "X-Mimosadale-Deadline-Ms")
      Header.m_Value = "4000";
  return Headers;
}

bool isEngine(const std::string &Id) { return Id.front() != 'b'; }

} // namespace

// Guards against repeats that are charged to no retry budget: a router that was
// cut off handed a stream under way to one router after the other.
TEST_CASE("a stream that another router serves is broken off, and the retry "
          "budget is empty: no endpoint gets it again") {
  CutOffRouter Routers(NoRetryBudget);
  ForwardRouter Third(Routers.m_Sound, "r3", NoRetryBudget);
  Routers.add(Third);
  Routers.cut();
  Routers.sendUntilNoticed();
  Routers.m_Sound.setEventInterval(50ms);
  harness::EventStream Stream(Routers.m_First->callerAddress(), "/guide/x",
                              shortHeaders("broken"), "x");
  REQUIRE(Stream.next());
  for (const std::string &Id : DefaultEndpoints)
    if (isEngine(Id)) {
      Routers.m_Sound.abortStreams(Id);
      Routers.m_Sound.refuseWithRetryAfter(Id, 0s);
    }
  while (Stream.next())
    continue;
  CAPTURE(Routers.m_First->log());
  CHECK_FALSE(Stream.isComplete());
  CHECK(Routers.m_Sound.runCount("broken") == 1);
}
