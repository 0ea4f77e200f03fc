// Streams while engines die, are suspended, stop responding, reply wrongly and
// join. Answers are compared with the reference text of the stand-in's model,
// which is reached only if every layer ran once and in order for each token.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "harness/harness.h"
#include "standin/model.h"

#include <boost/json.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using harness::Fleet;
namespace json = boost::json;

namespace {

constexpr unsigned Tokens = 60;

std::string expectedText(const std::string &Prompt, unsigned Seed) {
  return standin::referenceText("user: " + Prompt + "\nassistant:", 12, Tokens,
                                Seed);
}

// Two routers and three stages with two engines each. The engines are slow
// enough that streams are still running when faults are injected.
struct Pipelines {
  explicit Pipelines(const std::string &RouterSettings = "") {
    m_Fleet.startPlatform();
    for (const char *Engine : {"a1", "a2"})
      m_Fleet.startEngine(Engine, 0, 4, 400);
    for (const char *Engine : {"b1", "b2"})
      m_Fleet.startEngine(Engine, 4, 8, 400);
    for (const char *Engine : {"c1", "c2"})
      m_Fleet.startEngine(Engine, 8, 12, 400);
    m_Fleet.startRouter("r1", "fukuoka", RouterSettings);
    m_Fleet.startRouter("r2", "fukuoka", RouterSettings);
    m_Fleet.applyDeclaration();
    m_Fleet.waitReady();
  }

  // Runs streams over both routers, calls \p InjectFault once each has an
  // event, and checks all answers.
  void runStreams(unsigned Count, const std::function<void()> &InjectFault) {
    std::vector<harness::StreamResult> Results(Count);
    std::vector<std::thread> Threads;
    std::atomic<unsigned> StartedStreams = 0;
    for (unsigned I = 0; I < Count; ++I)
      Threads.emplace_back([&, I] {
        harness::EventStream Stream(
            m_Fleet.callerAddress(I % 2 ? "r1" : "r2"), "/v1/chat/completions",
            m_Fleet.authHeaders(),
            Fleet::completionBody(prompt(I), Tokens, I, true));
        const auto First = Stream.next();
        ++StartedStreams;
        Results[I] = harness::readStream(Stream);
        if (First)
          Results[I].m_Text = textOf(*First) + Results[I].m_Text;
      });
    harness::waitUntil([&] { return StartedStreams == Count; });
    InjectFault();
    for (std::thread &Thread : Threads)
      Thread.join();
    for (unsigned I = 0; I < Count; ++I) {
      CAPTURE(I);
      CHECK(Results[I].m_Error == "");
      CHECK(Results[I].m_Complete);
      CHECK(Results[I].m_Text == expectedText(prompt(I), I));
    }
    CHECK(m_Fleet.violations().empty());
  }

  static std::string prompt(unsigned I) {
    return "summarise the inspection of seat " + std::to_string(I);
  }

  static std::string textOf(const harness::EventStream::Event &Event) {
    const json::value Parsed = json::parse(Event.m_Data);
    return std::string(
        Parsed.at("choices").at(0).at("delta").at("content").as_string());
  }

  double retryCount(const std::string &Reason) {
    return m_Fleet.metricSum("r1", "mimosadale_retries_total", Reason) +
           m_Fleet.metricSum("r2", "mimosadale_retries_total", Reason);
  }

  json::object report(const std::string &Engine) {
    const auto Answer = harness::sendRequest(
        "GET", m_Fleet.endpointAddress(Engine), "/standin/report");
    return json::parse(Answer.m_Body).as_object();
  }

  // Sequences that the engine holds.
  unsigned sequenceCount(const std::string &Engine) {
    return report(Engine).at("sequences").to_number<unsigned>();
  }

  Fleet m_Fleet;
};

} // namespace

TEST_CASE(
    "a stage is killed during streams: every answer is complete and correct") {
  Pipelines Fixture;
  Fixture.runStreams(12, [&] { Fixture.m_Fleet.process("b1").kill(); });
  CHECK(Fixture.retryCount("stage_") >= 1);
  CHECK(Fixture.retryCount("new_epoch") == 0);
}

TEST_CASE("an engine of each stage is killed in turn: every answer is complete "
          "and correct") {
  Pipelines Fixture;
  Fixture.runStreams(6, [&] {
    for (const char *Engine : {"a1", "b2", "c1"}) {
      Fixture.m_Fleet.process(Engine).kill();
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  });
}

TEST_CASE("an engine and its replacement are killed: every answer is complete "
          "and correct") {
  Pipelines Fixture;
  Fixture.m_Fleet.startEngine("b3", 4, 8, 400);
  Fixture.m_Fleet.applyDeclaration();
  Fixture.runStreams(6, [&] {
    Fixture.m_Fleet.process("b1").kill();
    Fixture.m_Fleet.process("b2").kill();
  });
}

TEST_CASE("an engine is suspended: streams continue on the other one, and the "
          "engine is used again after it resumes") {
  Pipelines Fixture;
  Fixture.runStreams(8, [&] { Fixture.m_Fleet.process("b1").signal(SIGSTOP); });
  Fixture.m_Fleet.process("b1").signal(SIGCONT);
  CHECK(harness::waitUntil([&] {
    const auto Status = Fixture.m_Fleet.runCtl({"status"});
    return Status.m_Output.find("endpoint b1") == std::string::npos;
  }));
  Fixture.runStreams(4, [] {});
}

TEST_CASE(
    "all engines of a stage are suspended for 800 ms: no stream is lost") {
  Pipelines Fixture;
  Fixture.runStreams(4, [&] {
    for (const char *Engine : {"b1", "b2"})
      Fixture.m_Fleet.process(Engine).signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    for (const char *Engine : {"b1", "b2"})
      Fixture.m_Fleet.process(Engine).signal(SIGCONT);
  });
}

TEST_CASE("connections stop responding: streams resume on new connections, and "
          "no cache is rebuilt") {
  Pipelines Fixture;
  Fixture.runStreams(6, [&] {
    Fixture.m_Fleet.injectFault(Fixture.m_Fleet.endpointAddress("b1"),
                                R"({"silent": 1})");
    Fixture.m_Fleet.injectFault(Fixture.m_Fleet.endpointAddress("b2"),
                                R"({"silent": 1})");
  });
  CHECK(Fixture.retryCount("connection_silent") >= 1);
  const auto newSequences = [&](const char *Engine) {
    return Fixture.report(Engine).at("new_sequences").to_number<unsigned>();
  };
  CHECK(newSequences("b1") + newSequences("b2") == 6);
}

TEST_CASE(
    "wrong, truncated and refused replies of engines never reach a caller") {
  Pipelines Fixture;
  for (const char *Fault : {"wrong_request", "wrong_position", "wrong_epoch",
                            "truncate", "reset", "busy"}) {
    CAPTURE(Fault);
    Fixture.runStreams(2, [&] {
      for (const char *Engine : {"a1", "a2", "b1", "b2", "c1", "c2"})
        Fixture.m_Fleet.injectFault(Fixture.m_Fleet.endpointAddress(Engine),
                                    std::string("{\"") + Fault + "\": 1}");
    });
    for (const char *Engine : {"a1", "a2", "b1", "b2", "c1", "c2"})
      Fixture.m_Fleet.injectFault(Fixture.m_Fleet.endpointAddress(Engine),
                                  std::string("{\"") + Fault + "\": 0}");
  }
  CHECK(
      Fixture.m_Fleet.metricSum("r1", "mimosadale_dropped_replies_total") +
          Fixture.m_Fleet.metricSum("r2", "mimosadale_dropped_replies_total") >=
      1);
}

TEST_CASE("engines lose their cache: the router rebuilds it, and every answer "
          "is correct") {
  Pipelines Fixture;
  Fixture.runStreams(4, [&] {
    harness::sendRequest("GET", Fixture.m_Fleet.endpointAddress("b1"),
                         "/standin/forget");
    harness::sendRequest("GET", Fixture.m_Fleet.endpointAddress("b2"),
                         "/standin/forget");
  });
  CHECK(Fixture.retryCount("stage_lost_cache") >= 1);
}

TEST_CASE("a stage is lost and the boundary log is off: the streams start a "
          "new epoch") {
  Pipelines Fixture("[limits]\nboundary_log_bytes = 0\n");
  // Paths are chosen at random, so one of the two engines may have no stream.
  Fixture.runStreams(6, [&] {
    const bool B1HoldsMore =
        Fixture.sequenceCount("b1") >= Fixture.sequenceCount("b2");
    Fixture.m_Fleet.process(B1HoldsMore ? "b1" : "b2").kill();
  });
  CHECK(Fixture.retryCount("new_epoch") >= 1);
}

TEST_CASE(
    "an engine answers late: answers stay complete and are not mixed up") {
  Pipelines Fixture;
  Fixture.runStreams(4, [&] {
    Fixture.m_Fleet.injectFault(Fixture.m_Fleet.endpointAddress("b1"),
                                R"({"delay_ms": 150})");
  });
}

TEST_CASE("an engine joins during streams: they are not disturbed, and it gets "
          "new work") {
  Pipelines Fixture;
  Fixture.runStreams(4, [&] {
    Fixture.m_Fleet.startEngine("a3", 0, 4, 4000);
    Fixture.m_Fleet.applyDeclaration();
  });
  CHECK(harness::waitUntil([&] {
    Fixture.runStreams(6, [] {});
    return Fixture.report("a3").at("new_sequences").to_number<unsigned>() > 0;
  }));
}

TEST_CASE("no engine left for a layer: the stream ends with an error and not "
          "as complete, and new requests are refused") {
  Pipelines Fixture;
  harness::EventStream Stream(Fixture.m_Fleet.callerAddress("r1"),
                              "/v1/chat/completions",
                              Fixture.m_Fleet.authHeaders(),
                              Fleet::completionBody("p", Tokens, 1, true));
  REQUIRE(Stream.next());
  Fixture.m_Fleet.process("b1").kill();
  Fixture.m_Fleet.process("b2").kill();
  const auto Interrupted = harness::readStream(Stream);
  CHECK_FALSE(Interrupted.m_Complete);
  CHECK(Interrupted.m_Error.find("no_path") != std::string::npos);
  CHECK(Interrupted.m_Error.find("\"run_state\":\"ran\"") != std::string::npos);
  const auto Refused = harness::sendRequest(
      "POST", Fixture.m_Fleet.callerAddress("r1"), "/v1/chat/completions",
      Fixture.m_Fleet.authHeaders(),
      Fleet::completionBody("p", Tokens, 1, false));
  CHECK(Refused.m_Status == 503);
  CHECK(net::findHeader(Refused.m_Headers, "Mimosadale-Run-State") ==
        "not_run");
  CHECK_FALSE(net::findHeader(Refused.m_Headers, "Retry-After").empty());
}

TEST_CASE("a request passes its deadline: it is answered with 504, and the "
          "engines release its sequences") {
  Pipelines Fixture;
  auto Headers = Fixture.m_Fleet.authHeaders();
  Headers.push_back({"Mimosadale-Timeout-Ms", "300"});
  const auto TimedOut = harness::sendRequest(
      "POST", Fixture.m_Fleet.callerAddress("r1"), "/v1/chat/completions",
      Headers, Fleet::completionBody("p", 2000, 1, false));
  CHECK(TimedOut.m_Status == 504);
  CHECK(net::findHeader(TimedOut.m_Headers, "Mimosadale-Reason") ==
        "deadline_passed");
  CHECK(harness::waitUntil([&] {
    std::uint64_t Held = 0;
    for (const char *Engine : {"a1", "a2", "b1", "b2", "c1", "c2"})
      Held += Fixture.report(Engine).at("sequences").to_number<std::uint64_t>();
    return Held == 0;
  }));
}

TEST_CASE("a caller leaves during a stream: the router notices and counts it") {
  Pipelines Fixture;
  {
    harness::EventStream Stream(Fixture.m_Fleet.callerAddress("r1"),
                                "/v1/chat/completions",
                                Fixture.m_Fleet.authHeaders(),
                                Fleet::completionBody("p", 2000, 1, true));
    REQUIRE(Stream.next());
  }
  CHECK(harness::waitUntil([&] {
    return Fixture.m_Fleet.metricSum("r1", "mimosadale_refusals_total",
                                     "caller_gone") >= 1;
  }));
}

TEST_CASE("a router is killed during a stream: another router resumes it after "
          "the last event") {
  Pipelines Fixture;
  auto Headers = Fixture.m_Fleet.authHeaders();
  Headers.push_back({"Idempotency-Key", "chat-7"});
  const auto body = [] {
    return std::string(R"({"model": "guide", "stream": true, "max_tokens": 60,
      "messages": [{"role": "user", "content": "resume me"}]})");
  };
  harness::EventStream First(Fixture.m_Fleet.callerAddress("r1"),
                             "/v1/chat/completions", Headers, body());
  std::string Text;
  std::string LastId;
  for (int I = 0; I < 10; ++I) {
    const auto Event = First.next();
    REQUIRE(Event);
    Text += Pipelines::textOf(*Event);
    LastId = Event->m_Id;
  }
  Fixture.m_Fleet.process("r1").kill();
  Headers.push_back({"Last-Event-ID", LastId});
  harness::EventStream Second(Fixture.m_Fleet.callerAddress("r2"),
                              "/v1/chat/completions", Headers, body());
  const auto Remainder = harness::readStream(Second);
  CHECK(Remainder.m_Complete);
  CHECK(Remainder.m_TokenCount == 50);
  Text += Remainder.m_Text;

  harness::EventStream Repeated(
      Fixture.m_Fleet.callerAddress("r2"), "/v1/chat/completions",
      [&] {
        auto WithoutLastId = Fixture.m_Fleet.authHeaders();
        WithoutLastId.push_back({"Idempotency-Key", "chat-7"});
        return WithoutLastId;
      }(),
      body());
  CHECK(harness::readStream(Repeated).m_Text == Text);
}

TEST_CASE("a resume names an event that the router cannot continue from: it is "
          "refused as a mismatch") {
  Pipelines Fixture;
  auto Headers = Fixture.m_Fleet.authHeaders();
  Headers.push_back({"Idempotency-Key", "chat-8"});
  Headers.push_back({"Last-Event-ID", "5:deadbeef"});
  const auto Refused = harness::sendRequest(
      "POST", Fixture.m_Fleet.callerAddress("r1"), "/v1/chat/completions",
      Headers, Fleet::completionBody("p", 20, 3, true));
  CHECK(Refused.m_Status == 409);
  CHECK(net::findHeader(Refused.m_Headers, "Mimosadale-Reason") ==
        "resume_mismatch");
}
