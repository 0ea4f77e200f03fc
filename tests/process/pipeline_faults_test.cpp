// Streams while stages die, freeze, go silent, answer wrongly, join and leave.
// The engines' checkable function is the judge: the text of an answer is right
// only if every layer ran once and in order for each token.
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

std::string expected(const std::string &Prompt, unsigned Seed) {
  return standin::referenceText("user: " + Prompt + "\nassistant:", 12, Tokens,
                                Seed);
}

// Three stages with two engines each, slow enough that streams last a while.
struct Pipelines {
  explicit Pipelines(const std::string &RouterSettings = "") {
    m_Fleet.startPlatform();
    for (const char *Each : {"a1", "a2"})
      m_Fleet.startEngine(Each, 0, 4, 400);
    for (const char *Each : {"b1", "b2"})
      m_Fleet.startEngine(Each, 4, 8, 400);
    for (const char *Each : {"c1", "c2"})
      m_Fleet.startEngine(Each, 8, 12, 400);
    m_Fleet.startRouter("r1", "fukuoka", RouterSettings);
    m_Fleet.startRouter("r2", "fukuoka", RouterSettings);
    m_Fleet.apply();
    m_Fleet.waitReady();
  }

  // Runs streams over both routers and calls Disturb once they flow.
  void runStreams(unsigned Count, const std::function<void()> &Disturb) {
    std::vector<harness::StreamResult> Results(Count);
    std::vector<std::thread> Threads;
    std::atomic<unsigned> Flowing = 0;
    for (unsigned I = 0; I < Count; ++I)
      Threads.emplace_back([&, I] {
        harness::EventStream Stream(
            m_Fleet.callers(I % 2 ? "r1" : "r2"), "/v1/chat/completions",
            m_Fleet.auth(), Fleet::completion(prompt(I), Tokens, I, true));
        const auto First = Stream.next();
        ++Flowing;
        Results[I] = harness::readStream(Stream);
        if (First)
          Results[I].m_Text = textOf(*First) + Results[I].m_Text;
      });
    harness::eventually([&] { return Flowing == Count; });
    Disturb();
    for (std::thread &Each : Threads)
      Each.join();
    for (unsigned I = 0; I < Count; ++I) {
      CAPTURE(I);
      CHECK(Results[I].m_Error == "");
      CHECK(Results[I].m_Done);
      CHECK(Results[I].m_Text == expected(prompt(I), I));
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

  double retries(const std::string &Reason) {
    return m_Fleet.metric("r1", "mimosadale_retries_total", Reason) +
           m_Fleet.metric("r2", "mimosadale_retries_total", Reason);
  }

  json::object report(const std::string &Engine) {
    const auto Answer =
        harness::http("GET", m_Fleet.address(Engine), "/standin/report");
    return json::parse(Answer.m_Body).as_object();
  }

  // Requests that the engine holds now.
  unsigned sequences(const std::string &Engine) {
    return report(Engine).at("sequences").to_number<unsigned>();
  }

  Fleet m_Fleet;
};

} // namespace

TEST_CASE("a stage killed mid-stream: every answer whole and right") {
  Pipelines With;
  With.runStreams(12, [&] { With.m_Fleet.process("b1").kill(); });
  CHECK(With.retries("stage_") >= 1);
  CHECK(With.retries("new_epoch") == 0);
}

TEST_CASE("each stage killed in turn: every answer whole and right") {
  Pipelines With;
  With.runStreams(6, [&] {
    for (const char *Each : {"a1", "b2", "c1"}) {
      With.m_Fleet.process(Each).kill();
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  });
}

TEST_CASE("a replacement that dies too: every answer whole and right") {
  Pipelines With;
  With.m_Fleet.startEngine("b3", 4, 8, 400);
  With.m_Fleet.apply();
  With.runStreams(6, [&] {
    With.m_Fleet.process("b1").kill();
    With.m_Fleet.process("b2").kill();
  });
}

TEST_CASE("a frozen stage: streams go on elsewhere, and it comes back") {
  Pipelines With;
  With.runStreams(8, [&] { With.m_Fleet.process("b1").signal(SIGSTOP); });
  With.m_Fleet.process("b1").signal(SIGCONT);
  CHECK(harness::eventually([&] {
    const auto Status = With.m_Fleet.ctl({"status"});
    return Status.m_Output.find("endpoint b1") == std::string::npos;
  }));
  With.runStreams(4, [] {});
}

TEST_CASE("all engines of a stage frozen for a while: no stream is lost") {
  Pipelines With;
  With.runStreams(4, [&] {
    for (const char *Each : {"b1", "b2"})
      With.m_Fleet.process(Each).signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    for (const char *Each : {"b1", "b2"})
      With.m_Fleet.process(Each).signal(SIGCONT);
  });
}

TEST_CASE("connections gone silent: resumed on new ones, no cache rebuilt") {
  Pipelines With;
  With.runStreams(6, [&] {
    With.m_Fleet.fault(With.m_Fleet.address("b1"), R"({"silent": 1})");
    With.m_Fleet.fault(With.m_Fleet.address("b2"), R"({"silent": 1})");
  });
  CHECK(With.retries("connection_silent") >= 1);
  const auto newSequences = [&](const char *Engine) {
    return With.report(Engine).at("new_sequences").to_number<unsigned>();
  };
  CHECK(newSequences("b1") + newSequences("b2") == 6);
}

TEST_CASE("wrong, broken and refused replies never reach a caller") {
  Pipelines With;
  for (const char *Fault : {"wrong_request", "wrong_position", "wrong_epoch",
                            "truncate", "reset", "busy"}) {
    CAPTURE(Fault);
    With.runStreams(2, [&] {
      for (const char *Engine : {"a1", "a2", "b1", "b2", "c1", "c2"})
        With.m_Fleet.fault(With.m_Fleet.address(Engine),
                           std::string("{\"") + Fault + "\": 1}");
    });
    for (const char *Engine : {"a1", "a2", "b1", "b2", "c1", "c2"})
      With.m_Fleet.fault(With.m_Fleet.address(Engine),
                         std::string("{\"") + Fault + "\": 0}");
  }
  CHECK(With.m_Fleet.metric("r1", "mimosadale_dropped_replies_total") +
            With.m_Fleet.metric("r2", "mimosadale_dropped_replies_total") >=
        1);
}

TEST_CASE("engines that lose their cache are filled again") {
  Pipelines With;
  With.runStreams(4, [&] {
    harness::http("GET", With.m_Fleet.address("b1"), "/standin/forget");
    harness::http("GET", With.m_Fleet.address("b2"), "/standin/forget");
  });
  CHECK(With.retries("stage_lost_cache") >= 1);
}

TEST_CASE("without a log a lost stage starts a new epoch") {
  Pipelines With("[limits]\nboundary_log_bytes = 0\n");
  // Paths are drawn: one of the two may hold none of six streams.
  With.runStreams(6, [&] {
    const bool FirstHolds = With.sequences("b1") >= With.sequences("b2");
    With.m_Fleet.process(FirstHolds ? "b1" : "b2").kill();
  });
  CHECK(With.retries("new_epoch") >= 1);
}

TEST_CASE("a slow link: late answers stay whole and apart") {
  Pipelines With;
  With.runStreams(4, [&] {
    With.m_Fleet.fault(With.m_Fleet.address("b1"), R"({"delay_ms": 150})");
  });
}

TEST_CASE("an engine joins in flight and takes new work") {
  Pipelines With;
  With.runStreams(4, [&] {
    With.m_Fleet.startEngine("a3", 0, 4, 4000);
    With.m_Fleet.apply();
  });
  CHECK(harness::eventually([&] {
    With.runStreams(6, [] {});
    return With.report("a3").at("new_sequences").to_number<unsigned>() > 0;
  }));
}

TEST_CASE("no engine left for a layer: a final answer, never ended as whole") {
  Pipelines With;
  harness::EventStream Stream(With.m_Fleet.callers("r1"),
                              "/v1/chat/completions", With.m_Fleet.auth(),
                              Fleet::completion("p", Tokens, 1, true));
  REQUIRE(Stream.next());
  With.m_Fleet.process("b1").kill();
  With.m_Fleet.process("b2").kill();
  const auto Broken = harness::readStream(Stream);
  CHECK_FALSE(Broken.m_Done);
  CHECK(Broken.m_Error.find("no_path") != std::string::npos);
  CHECK(Broken.m_Error.find("\"run_state\":\"ran\"") != std::string::npos);
  const auto Refused = harness::http(
      "POST", With.m_Fleet.callers("r1"), "/v1/chat/completions",
      With.m_Fleet.auth(), Fleet::completion("p", Tokens, 1, false));
  CHECK(Refused.m_Status == 503);
  CHECK(net::findHeader(Refused.m_Headers, "Mimosadale-Run-State") ==
        "not_run");
  CHECK_FALSE(net::findHeader(Refused.m_Headers, "Retry-After").empty());
}

TEST_CASE(
    "the deadline: the final answer comes with it, the engines are freed") {
  Pipelines With;
  auto Headers = With.m_Fleet.auth();
  Headers.push_back({"Mimosadale-Timeout-Ms", "300"});
  const auto Late =
      harness::http("POST", With.m_Fleet.callers("r1"), "/v1/chat/completions",
                    Headers, Fleet::completion("p", 2000, 1, false));
  CHECK(Late.m_Status == 504);
  CHECK(net::findHeader(Late.m_Headers, "Mimosadale-Reason") ==
        "deadline_passed");
  CHECK(harness::eventually([&] {
    std::uint64_t Held = 0;
    for (const char *Engine : {"a1", "a2", "b1", "b2", "c1", "c2"})
      Held += With.report(Engine).at("sequences").to_number<std::uint64_t>();
    return Held == 0;
  }));
}

TEST_CASE("a caller that leaves frees the engines") {
  Pipelines With;
  {
    harness::EventStream Stream(With.m_Fleet.callers("r1"),
                                "/v1/chat/completions", With.m_Fleet.auth(),
                                Fleet::completion("p", 2000, 1, true));
    REQUIRE(Stream.next());
  }
  CHECK(harness::eventually([&] {
    return With.m_Fleet.metric("r1", "mimosadale_refusals_total",
                               "caller_gone") >= 1;
  }));
}

TEST_CASE("a router killed mid-stream: the other one gives the rest") {
  Pipelines With;
  auto Headers = With.m_Fleet.auth();
  Headers.push_back({"Idempotency-Key", "chat-7"});
  const auto body = [] {
    return std::string(R"({"model": "guide", "stream": true, "max_tokens": 60,
      "messages": [{"role": "user", "content": "resume me"}]})");
  };
  harness::EventStream First(With.m_Fleet.callers("r1"), "/v1/chat/completions",
                             Headers, body());
  std::string Text;
  std::string LastId;
  for (int I = 0; I < 10; ++I) {
    const auto Event = First.next();
    REQUIRE(Event);
    Text += Pipelines::textOf(*Event);
    LastId = Event->m_Id;
  }
  With.m_Fleet.process("r1").kill();
  Headers.push_back({"Last-Event-ID", LastId});
  harness::EventStream Second(With.m_Fleet.callers("r2"),
                              "/v1/chat/completions", Headers, body());
  const auto Rest = harness::readStream(Second);
  CHECK(Rest.m_Done);
  CHECK(Rest.m_Tokens == 50);
  Text += Rest.m_Text;

  harness::EventStream Again(
      With.m_Fleet.callers("r2"), "/v1/chat/completions",
      [&] {
        auto Plain = With.m_Fleet.auth();
        Plain.push_back({"Idempotency-Key", "chat-7"});
        return Plain;
      }(),
      body());
  CHECK(harness::readStream(Again).m_Text == Text);
}

TEST_CASE("a resume that cannot be met is said so") {
  Pipelines With;
  auto Headers = With.m_Fleet.auth();
  Headers.push_back({"Idempotency-Key", "chat-8"});
  Headers.push_back({"Last-Event-ID", "5:deadbeef"});
  const auto Refused =
      harness::http("POST", With.m_Fleet.callers("r1"), "/v1/chat/completions",
                    Headers, Fleet::completion("p", 20, 3, true));
  CHECK(Refused.m_Status == 409);
  CHECK(net::findHeader(Refused.m_Headers, "Mimosadale-Reason") ==
        "resume_mismatch");
}
