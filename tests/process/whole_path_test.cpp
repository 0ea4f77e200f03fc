// Requests through engines that each hold a part of the layers, without faults.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "harness/harness.h"
#include "standin/model.h"

#include <boost/json.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using harness::Fleet;

namespace {

// The reference text of the model for a chat with one user message.
std::string expectedText(const std::string &Prompt, unsigned Tokens,
                         unsigned Seed) {
  return standin::referenceText("user: " + Prompt + "\nassistant:", 12, Tokens,
                                Seed);
}

void startInstallation(Fleet &Installation) {
  Installation.startPlatform();
  Installation.startEngine("a1", 0, 4);
  Installation.startEngine("a2", 0, 4);
  Installation.startEngine("b1", 4, 8);
  Installation.startEngine("b2", 4, 8);
  Installation.startEngine("c1", 8, 12);
  Installation.startEngine("c2", 8, 12);
  Installation.startService("booking-1", "booking");
  Installation.startRouter("r1");
  Installation.startRouter("r2");
  Installation.applyDeclaration();
  Installation.waitReady();
}

} // namespace

TEST_CASE("streamed and unstreamed answers both equal the reference text of "
          "the model") {
  Fleet Installation;
  startInstallation(Installation);
  harness::EventStream Stream(Installation.callerAddress("r1"),
                              "/v1/chat/completions",
                              Installation.authHeaders(),
                              Fleet::completionBody("fit a seat", 20, 5, true));
  const auto Streamed = harness::readStream(Stream);
  CHECK(Streamed.m_Status == 200);
  CHECK(Streamed.m_Complete);
  CHECK(Streamed.m_Text == expectedText("fit a seat", 20, 5));

  const auto Unstreamed =
      harness::sendRequest("POST", Installation.callerAddress("r2"),
                           "/v1/chat/completions", Installation.authHeaders(),
                           Fleet::completionBody("fit a seat", 20, 5, false));
  REQUIRE(Unstreamed.m_Status == 200);
  const boost::json::value Body = boost::json::parse(Unstreamed.m_Body);
  const auto &Choice = Body.at("choices").as_array().at(0);
  CHECK(Choice.at("message").at("content").as_string() ==
        expectedText("fit a seat", 20, 5));
  CHECK(Choice.at("finish_reason").as_string() == "length");
  CHECK(Body.at("usage").at("completion_tokens").as_int64() == 20);
  CHECK(Installation.violations().empty());
}

TEST_CASE("many streams run at the same time: their answers are not mixed up") {
  Fleet Installation;
  startInstallation(Installation);
  constexpr unsigned Streams = 48;
  std::vector<harness::StreamResult> Results(Streams);
  std::vector<std::thread> Threads;
  for (unsigned I = 0; I < Streams; ++I)
    Threads.emplace_back([&, I] {
      harness::EventStream Stream(
          Installation.callerAddress(I % 2 ? "r1" : "r2"),
          "/v1/chat/completions", Installation.authHeaders(),
          Fleet::completionBody("question " + std::to_string(I), 16, I, true));
      Results[I] = harness::readStream(Stream);
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  for (unsigned I = 0; I < Streams; ++I) {
    CHECK(Results[I].m_Complete);
    CHECK(Results[I].m_Text ==
          expectedText("question " + std::to_string(I), 16, I));
  }
  CHECK(Installation.violations().empty());
}

TEST_CASE("a booking is repeated at another router: it runs once, and the "
          "repeat gets the same answer") {
  Fleet Installation;
  startInstallation(Installation);
  auto Headers = Installation.authHeaders();
  Headers.push_back({"Idempotency-Key", "family-17"});
  const auto First =
      harness::sendRequest("POST", Installation.callerAddress("r1"),
                           "/v1/services/booking/deposits", Headers, "seat 4");
  REQUIRE(First.m_Status == 201);
  net::HttpResponse Second;
  CHECK(harness::waitUntil([&] {
    Second = harness::sendRequest("POST", Installation.callerAddress("r2"),
                                  "/v1/services/booking/deposits", Headers,
                                  "seat 4");
    return Second.m_Status == 201;
  }));
  CHECK(Second.m_Body == First.m_Body);
  CHECK(net::findHeader(Second.m_Headers, "Mimosadale-Repeated") == "true");
  CHECK(Installation.executions("family-17") == 1);
}

TEST_CASE("SIGTERM during a stream: the router drains, completes the stream "
          "and exits with status 0") {
  Fleet Installation;
  Installation.startPlatform();
  Installation.startEngine("a", 0, 12, 100);
  Installation.startRouter("r1");
  Installation.applyDeclaration();
  Installation.waitReady();
  harness::EventStream Stream(
      Installation.callerAddress("r1"), "/v1/chat/completions",
      Installation.authHeaders(),
      Fleet::completionBody("long answer", 300, 1, true));
  REQUIRE(Stream.next());
  Installation.process("r1").signal(SIGTERM);
  CHECK(harness::waitUntil([&] {
    return harness::sendRequest("GET", Installation.callerAddress("r1"),
                                "/readyz")
               .m_Status == 503;
  }));
  const auto Remainder = harness::readStream(Stream);
  CHECK(Remainder.m_Complete);
  CHECK(Remainder.m_TokenCount == 299);
  CHECK(Installation.process("r1").wait() == 0);
}
