#include "platform/forward_helpers.h"

#include <doctest/doctest.h>
#include <thread>

namespace mimosadale::tests {

using namespace std::chrono_literals;

namespace {

bool chainsServe(const ForwardRouter &Router) {
  harness::EventStream Stream(Router.callerAddress(), "/guide/try",
                              requestHeaders("try"), "x");
  return Stream.status() == 200 && Stream.next().has_value();
}

} // namespace

void addDefaultEndpoints(FakePlatform &Platform) {
  for (const char *DataCentre : {"fukuoka", "kumamoto"})
    for (int I = 0; I < 3; ++I)
      Platform.addEngine(std::string(DataCentre) + std::to_string(I),
                         DataCentre);
  Platform.addService("b1", "booking");
  Platform.addService("b2", "booking");
  Platform.configure(1);
}

void waitUntilServing(ForwardRouter &Router) {
  const bool Ready =
      harness::waitUntil([&] { return Router.readinessStatus() == 200; });
  CAPTURE(Router.log());
  REQUIRE(Ready);
  REQUIRE(harness::waitUntil([&] { return chainsServe(Router); }));
}

namespace {

// The value that follows \p Line on the page of metrics; 0 if there is none.
unsigned readMetric(const ForwardRouter &Router, const std::string &Line) {
  const std::string Page =
      harness::sendRequest("GET", Router.metricsAddress(), "/metrics").m_Body;
  const std::size_t Found = Page.find(Line);
  return Found == std::string::npos ? 0
                                    : static_cast<unsigned>(std::stoul(
                                          Page.substr(Found + Line.size())));
}

} // namespace

unsigned knownRouterCount(const ForwardRouter &Router) {
  return stateValue(Router, "routers");
}

unsigned stateValue(const ForwardRouter &Router, const std::string &Name) {
  return readMetric(Router, "mimosadale_state{name=\"" + Name + "\"} ");
}

unsigned eventCount(const ForwardRouter &Router, const std::string &Event) {
  return readMetric(Router,
                    "mimosadale_events_total{event=\"" + Event + "\"} ");
}

unsigned promptStatus(const ForwardRouter &Router, const std::string &Id,
                      const std::string &SharedParts, unsigned Events) {
  harness::Headers Headers = requestHeaders(Id, "key", Events);
  Headers.push_back(
      {"X-Mimosadale-Prompt-Prefix", SharedParts + "," + Id + ":9"});
  harness::EventStream Stream(Router.callerAddress(), "/guide/x", Headers, "x");
  while (Stream.next())
    continue;
  return Stream.status() == 200 && !Stream.isComplete() ? 0 : Stream.status();
}

Streams openStreams(const ForwardRouter &Router, int Count, unsigned Events) {
  Streams OpenStreams;
  for (int I = 0; I < Count; ++I) {
    OpenStreams.push_back(std::make_unique<harness::EventStream>(
        Router.callerAddress(), "/guide/seat",
        requestHeaders("s" + std::to_string(I), "key", Events), "x"));
    REQUIRE(OpenStreams.back()->next());
  }
  return OpenStreams;
}

unsigned readInOrder(harness::EventStream &Stream, unsigned LastEvent) {
  unsigned LastId = LastEvent;
  while (const auto Event = Stream.next()) {
    REQUIRE(Event->m_Id == std::to_string(LastId + 1));
    ++LastId;
  }
  return LastId;
}

void stallAndResume(FakePlatform &Platform, const Streams &OpenStreams,
                    unsigned Events) {
  const auto Path = Platform.lastPath("s0");
  REQUIRE(Path.size() > 1);
  Platform.stopResponding(Path.back());
  std::this_thread::sleep_for(900ms);
  Platform.resumeResponding(Path.back());
  for (const auto &Stream : OpenStreams) {
    CHECK(readInOrder(*Stream, 1) == Events);
    CHECK(Stream->isComplete());
  }
  CHECK(Platform.violations().empty());
}

unsigned lookStatus(const ForwardRouter &Router, const std::string &Key,
                    const std::string &Target) {
  return harness::sendRequest("GET", Router.callerAddress(), Target,
                              requestHeaders("look", Key))
      .m_Status;
}

void writeUnrelatedRows(FakePlatform &Platform) {
  constexpr int Rows = 60;
  for (int I = 0; I < Rows; ++I)
    Platform.put("other", "row" + std::to_string(I), "raises the version");
}

void restoreAfter(FakePlatform &Platform,
                  const std::shared_ptr<const FakePlatform::StoreCopy> &Copy,
                  StoreMode Mode, std::chrono::milliseconds Time) {
  Platform.setStoreMode(Mode);
  std::this_thread::sleep_for(Time);
  Platform.restoreStore(Copy);
  Platform.setStoreMode(StoreMode::Available);
}

} // namespace mimosadale::tests
