// Measures pipelines: latency added per hop and token, throughput of many
// concurrent streams, and the time from the loss of a stage to the next token.
#include "harness/harness.h"
#include "net/client.h"
#include "schema/generated/engine.pb.h"
#include "standin/model.h"
#include "support/process_cost.h"
#include "support/statistics.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <csignal>
#include <cstdio>
#include <thread>

using namespace mimosadale;
using harness::Fleet;
namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

double milliseconds(Clock::duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

struct PipelineFixture {
  PipelineFixture(unsigned EnginesPerStage, double Rate, unsigned Routers,
                  const std::string &ExtraSettings) {
    m_Fleet.m_GossipIntervalMs = 700;
    m_Fleet.m_PlatformPollMs = 1000;
    m_Fleet.startPlatform();
    for (unsigned Stage = 0; Stage < 3; ++Stage)
      for (unsigned I = 0; I < EnginesPerStage; ++I)
        m_Fleet.startEngine(std::string(1, static_cast<char>('a' + Stage)) +
                                std::to_string(I),
                            Stage * 4, Stage * 4 + 4, Rate);
    for (unsigned I = 0; I < Routers; ++I)
      m_Fleet.startRouter("r" + std::to_string(I), "fukuoka", ExtraSettings);
    m_Fleet.applyDeclaration();
    m_Fleet.waitReady();
  }
  Fleet m_Fleet;
};

const char *const ErrorLogOnly = "[log]\nlevel = \"error\"\n";

// Median time of decode calls made directly to an engine.
double medianDirectCallMs(const std::string &Address, unsigned Calls) {
  asio::io_context Io;
  net::HttpClient Client(Io.get_executor());
  std::vector<double> TimesMs;
  schema::StageRequest Request;
  Request.set_request("direct");
  Request.set_epoch(1);
  Request.set_end_layer(4);
  for (unsigned I = 0; I < Calls; ++I) {
    Request.set_call(I);
    Request.set_first_position(I);
    Request.set_want_from(I);
    if (I == 0)
      Request.mutable_input()->set_prompt("one");
    else {
      Request.mutable_input()->clear_prompt();
      Request.mutable_input()->clear_tokens();
      Request.mutable_input()->add_tokens(I);
    }
    net::HttpRequest HttpRequest{
        "POST", "/v1/stage", {}, Request.SerializeAsString()};
    const auto Start = Clock::now();
    auto Response = asio::co_spawn(
        Io, Client.exchange(net::parseAddress(Address), HttpRequest),
        asio::use_future);
    Io.restart();
    Io.run();
    if (Response.get().m_Status != 200)
      std::printf("direct call failed\n");
    TimesMs.push_back(milliseconds(Clock::now() - Start));
  }
  return bench::quantile(TimesMs, 0.5);
}

void measureHop() {
  PipelineFixture Fixture(1, 0, 1, ErrorLogOnly);
  constexpr unsigned Tokens = 1000;
  const double DirectMs =
      medianDirectCallMs(Fixture.m_Fleet.endpointAddress("a0"), Tokens);
  harness::EventStream Stream(Fixture.m_Fleet.callerAddress("r0"),
                              "/v1/chat/completions",
                              Fixture.m_Fleet.authHeaders(),
                              Fleet::completionBody("hop", Tokens, 1, true));
  std::vector<double> HopTimesMs;
  auto LastEvent = Clock::now();
  while (Stream.next()) {
    const auto Now = Clock::now();
    HopTimesMs.push_back(milliseconds(Now - LastEvent) / 3);
    LastEvent = Now;
  }
  const double HopMs = bench::quantile(HopTimesMs, 0.5);
  std::printf("hop: direct call p50 %.3f ms; through the router p50 %.3f ms a "
              "hop; added %.3f ms\n",
              DirectMs, HopMs, HopMs - DirectMs);
  std::fflush(stdout);
}

void measureManyStreams(unsigned Streams, unsigned Tokens) {
  PipelineFixture Fixture(4, 0, 2, ErrorLogOnly);
  const auto residentMb = [&] {
    return bench::readCost(Fixture.m_Fleet.process("r0").id()).m_ResidentMb +
           bench::readCost(Fixture.m_Fleet.process("r1").id()).m_ResidentMb;
  };
  const auto cpuSeconds = [&] {
    return bench::readCost(Fixture.m_Fleet.process("r0").id()).m_CpuSeconds +
           bench::readCost(Fixture.m_Fleet.process("r1").id()).m_CpuSeconds;
  };
  const double MemoryBefore = residentMb();
  const double CpuBefore = cpuSeconds();
  std::atomic<unsigned> CompleteCount = 0;
  std::atomic<unsigned> CorrectCount = 0;
  std::vector<std::thread> Threads;
  const auto Start = Clock::now();
  for (unsigned I = 0; I < Streams; ++I)
    Threads.emplace_back([&, I] {
      const std::string Prompt = "stream " + std::to_string(I);
      harness::EventStream Stream(
          Fixture.m_Fleet.callerAddress(I % 2 ? "r0" : "r1"),
          "/v1/chat/completions", Fixture.m_Fleet.authHeaders(),
          Fleet::completionBody(Prompt, Tokens, I, true));
      const auto Result = harness::readStream(Stream);
      CompleteCount += Result.m_Complete;
      CorrectCount += Result.m_Text ==
                      standin::referenceText(
                          "user: " + Prompt + "\nassistant:", 12, Tokens, I);
    });
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const double MemoryDuring = residentMb();
  for (std::thread &Thread : Threads)
    Thread.join();
  const double Seconds = milliseconds(Clock::now() - Start) / 1000;
  const double CpuUsed = cpuSeconds() - CpuBefore;
  std::printf("streams: %u over 2 routers and 12 engines: %u whole, %u right, "
              "%zu violations; %.0f tokens/s; routers' memory %.0f MB before, "
              "%.0f MB during; %.3f ms of a core a token of 3 stages\n",
              Streams, CompleteCount.load(), CorrectCount.load(),
              Fixture.m_Fleet.violations().size(), Streams * Tokens / Seconds,
              MemoryBefore, MemoryDuring, CpuUsed * 1000 / (Streams * Tokens));
  std::fflush(stdout);
}

// The longest interval between tokens after the middle stage received `Signal`.
double maxRecoveryGapMs(const std::string &ExtraSettings,
                        unsigned ContextTokens, int Signal) {
  PipelineFixture Fixture(2, 20000, 1,
                          std::string(ErrorLogOnly) + ExtraSettings);
  std::string Prompt;
  for (unsigned I = 0; I < ContextTokens; ++I)
    Prompt += " w" + std::to_string(I);
  harness::EventStream Stream(Fixture.m_Fleet.callerAddress("r0"),
                              "/v1/chat/completions",
                              Fixture.m_Fleet.authHeaders(),
                              Fleet::completionBody(Prompt, 200, 1, true));
  for (int I = 0; I < 20; ++I)
    Stream.next();
  const auto Report =
      Fixture.m_Fleet.runCtl({"explain", Stream.header("Mimosadale-Request")});
  const bool UsesB0 = Report.m_Output.find("b0[") != std::string::npos;
  Fixture.m_Fleet.process(UsesB0 ? "b0" : "b1").signal(Signal);
  double LongestMs = 0;
  auto LastEvent = Clock::now();
  while (Stream.next()) {
    LongestMs = std::max(LongestMs, milliseconds(Clock::now() - LastEvent));
    LastEvent = Clock::now();
  }
  return LongestMs;
}

// Time until token 21 arrives when the request is restarted from the beginning;
// compares with a loss after 20 tokens.
double restartTimeMs(unsigned ContextTokens) {
  PipelineFixture Fixture(2, 20000, 1, ErrorLogOnly);
  std::string Prompt;
  for (unsigned I = 0; I < ContextTokens; ++I)
    Prompt += " w" + std::to_string(I);
  const auto Start = Clock::now();
  harness::EventStream Stream(Fixture.m_Fleet.callerAddress("r0"),
                              "/v1/chat/completions",
                              Fixture.m_Fleet.authHeaders(),
                              Fleet::completionBody(Prompt, 40, 1, true));
  for (int I = 0; I < 21; ++I)
    Stream.next();
  return milliseconds(Clock::now() - Start);
}

void measureRecovery() {
  const char *const WithoutBoundaryLog = "[limits]\nboundary_log_bytes = 0\n";
  std::printf("recovery, ms from the loss of the middle of three stages to the "
              "next token; engines at 20,000 positions/s\n");
  std::printf("%8s %12s %12s %12s %12s %12s\n", "context", "replaced",
              "new epoch", "asked again", "one prefill", "frozen+repl.");
  for (const unsigned ContextTokens : {256u, 1024u, 4096u, 8192u}) {
    std::printf("%8u %12.0f %12.0f %12.0f %12.0f %12.0f\n", ContextTokens,
                maxRecoveryGapMs("", ContextTokens, SIGKILL),
                maxRecoveryGapMs(WithoutBoundaryLog, ContextTokens, SIGKILL),
                restartTimeMs(ContextTokens), ContextTokens / 20.0,
                maxRecoveryGapMs("", ContextTokens, SIGSTOP));
    std::fflush(stdout);
  }
}

} // namespace

// Runs the measurement named by the argument: hop, streams or recovery; all
// three without an argument.
int main(int Argc, char **Argv) {
  const std::string SelectedMeasurement = Argc > 1 ? Argv[1] : "";
  if (SelectedMeasurement.empty() || SelectedMeasurement == "hop")
    measureHop();
  if (SelectedMeasurement.empty() || SelectedMeasurement == "streams")
    measureManyStreams(1000, 32);
  if (SelectedMeasurement.empty() || SelectedMeasurement == "recovery")
    measureRecovery();
}
