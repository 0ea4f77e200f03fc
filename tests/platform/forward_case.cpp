#include "platform/forward_case.h"

#include <doctest/doctest.h>
#include <thread>

namespace mimosadale::tests {

using namespace std::chrono_literals;

namespace {

bool chainsServe(const ForwardRouter &At) {
  harness::EventStream Try(At.callers(), "/guide/try", headers("try"), "x");
  return Try.status() == 200 && Try.next().has_value();
}

} // namespace

void fill(Estate &Of) {
  for (const char *Centre : {"fukuoka", "kumamoto"})
    for (int I = 0; I < 3; ++I)
      Of.addEngine(std::string(Centre) + std::to_string(I), Centre);
  Of.addService("b1", "booking");
  Of.addService("b2", "booking");
  Of.configure(1);
}

void waitServing(ForwardRouter &At) {
  const bool Ready = harness::eventually([&] { return At.readiness() == 200; });
  CAPTURE(At.log());
  REQUIRE(Ready);
  REQUIRE(harness::eventually([&] { return chainsServe(At); }));
}

unsigned routersKnown(const ForwardRouter &At) {
  const std::string Page =
      harness::http("GET", At.metrics(), "/metrics").m_Body;
  const std::string Line = "mimosadale_state{name=\"routers\"} ";
  const std::size_t Found = Page.find(Line);
  return Found == std::string::npos ? 0
                                    : static_cast<unsigned>(std::stoul(
                                          Page.substr(Found + Line.size())));
}

Streams openStreams(const ForwardRouter &At, int Count, unsigned Events) {
  Streams Open;
  for (int I = 0; I < Count; ++I) {
    Open.push_back(std::make_unique<harness::EventStream>(
        At.callers(), "/guide/seat",
        headers("s" + std::to_string(I), "key", Events), "x"));
    REQUIRE(Open.back()->next());
  }
  return Open;
}

unsigned readOrdered(harness::EventStream &From, unsigned Already) {
  unsigned Last = Already;
  while (const auto Event = From.next()) {
    REQUIRE(Event->m_Id == std::to_string(Last + 1));
    ++Last;
  }
  return Last;
}

void standStillAndGoOn(Estate &Platform, const Streams &Open, unsigned Events) {
  const auto Path = Platform.pathOf("s0");
  REQUIRE(Path.size() > 1);
  Platform.silence(Path.back());
  std::this_thread::sleep_for(900ms);
  Platform.wake(Path.back());
  for (const auto &Each : Open) {
    CHECK(readOrdered(*Each, 1) == Events);
    CHECK(Each->whole());
  }
  CHECK(Platform.violations().empty());
}

} // namespace mimosadale::tests
