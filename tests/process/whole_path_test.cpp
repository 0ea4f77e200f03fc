// A caller's request comes back whole through engines that each hold a part of
// the layers.
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

// The text that the model must give for a chat with one message of a user.
std::string expected(const std::string &Prompt, unsigned Tokens,
                     unsigned Seed) {
  return standin::referenceText("user: " + Prompt + "\nassistant:", 12, Tokens,
                                Seed);
}

void startSmallFleet(Fleet &Small) {
  Small.startPlatform();
  Small.startEngine("a1", 0, 4);
  Small.startEngine("a2", 0, 4);
  Small.startEngine("b1", 4, 8);
  Small.startEngine("b2", 4, 8);
  Small.startEngine("c1", 8, 12);
  Small.startEngine("c2", 8, 12);
  Small.startService("booking-1", "booking");
  Small.startRouter("r1");
  Small.startRouter("r2");
  Small.apply();
  Small.waitReady();
}

} // namespace

TEST_CASE("a streamed answer and a whole one are the model's own") {
  Fleet Small;
  startSmallFleet(Small);
  harness::EventStream Stream(Small.callers("r1"), "/v1/chat/completions",
                              Small.auth(),
                              Fleet::completion("fit a seat", 20, 5, true));
  const auto Streamed = harness::readStream(Stream);
  CHECK(Streamed.m_Status == 200);
  CHECK(Streamed.m_Done);
  CHECK(Streamed.m_Text == expected("fit a seat", 20, 5));

  const auto Whole = harness::http(
      "POST", Small.callers("r2"), "/v1/chat/completions", Small.auth(),
      Fleet::completion("fit a seat", 20, 5, false));
  REQUIRE(Whole.m_Status == 200);
  const boost::json::value Body = boost::json::parse(Whole.m_Body);
  const auto &Choice = Body.at("choices").as_array().at(0);
  CHECK(Choice.at("message").at("content").as_string() ==
        expected("fit a seat", 20, 5));
  CHECK(Choice.at("finish_reason").as_string() == "length");
  CHECK(Body.at("usage").at("completion_tokens").as_int64() == 20);
  CHECK(Small.violations().empty());
}

TEST_CASE("many streams at once stay apart") {
  Fleet Small;
  startSmallFleet(Small);
  constexpr unsigned Streams = 48;
  std::vector<harness::StreamResult> Results(Streams);
  std::vector<std::thread> Threads;
  for (unsigned I = 0; I < Streams; ++I)
    Threads.emplace_back([&, I] {
      harness::EventStream Stream(
          Small.callers(I % 2 ? "r1" : "r2"), "/v1/chat/completions",
          Small.auth(),
          Fleet::completion("question " + std::to_string(I), 16, I, true));
      Results[I] = harness::readStream(Stream);
    });
  for (std::thread &Each : Threads)
    Each.join();
  for (unsigned I = 0; I < Streams; ++I) {
    CHECK(Results[I].m_Done);
    CHECK(Results[I].m_Text ==
          expected("question " + std::to_string(I), 16, I));
  }
  CHECK(Small.violations().empty());
}

TEST_CASE("a booking runs once, and its repeat gets the same answer") {
  Fleet Small;
  startSmallFleet(Small);
  auto Headers = Small.auth();
  Headers.push_back({"Idempotency-Key", "family-17"});
  const auto First =
      harness::http("POST", Small.callers("r1"),
                    "/v1/services/booking/deposits", Headers, "seat 4");
  REQUIRE(First.m_Status == 201);
  net::HttpResponse Second;
  CHECK(harness::eventually([&] {
    Second = harness::http("POST", Small.callers("r2"),
                           "/v1/services/booking/deposits", Headers, "seat 4");
    return Second.m_Status == 201;
  }));
  CHECK(Second.m_Body == First.m_Body);
  CHECK(net::findHeader(Second.m_Headers, "Mimosadale-Repeated") == "true");
  CHECK(Small.executions("family-17") == 1);
}

TEST_CASE("SIGTERM drains: a stream in progress ends whole, exit status 0") {
  Fleet Small;
  Small.startPlatform();
  Small.startEngine("a", 0, 12, 100);
  Small.startRouter("r1");
  Small.apply();
  Small.waitReady();
  harness::EventStream Stream(Small.callers("r1"), "/v1/chat/completions",
                              Small.auth(),
                              Fleet::completion("long answer", 300, 1, true));
  REQUIRE(Stream.next());
  Small.process("r1").signal(SIGTERM);
  CHECK(harness::eventually([&] {
    return harness::http("GET", Small.callers("r1"), "/readyz").m_Status == 503;
  }));
  const auto Rest = harness::readStream(Stream);
  CHECK(Rest.m_Done);
  CHECK(Rest.m_Tokens == 299);
  CHECK(Small.process("r1").wait() == 0);
}
