// Measures pipelines: time added a token a hop, many streams at once, and the
// time from the loss of a stage to the next token.
#include "harness/harness.h"
#include "net/client.h"
#include "schema/generated/engine.pb.h"
#include "standin/model.h"
#include "support/figures.h"
#include "support/process_cost.h"

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

struct Stages {
  Stages(unsigned EnginesPerStage, double Rate, unsigned Routers,
         const std::string &Extra) {
    m_Fleet.m_GossipIntervalMs = 700;
    m_Fleet.m_PlatformPollMs = 1000;
    m_Fleet.startPlatform();
    for (unsigned Stage = 0; Stage < 3; ++Stage)
      for (unsigned I = 0; I < EnginesPerStage; ++I)
        m_Fleet.startEngine(std::string(1, static_cast<char>('a' + Stage)) +
                                std::to_string(I),
                            Stage * 4, Stage * 4 + 4, Rate);
    for (unsigned I = 0; I < Routers; ++I)
      m_Fleet.startRouter("r" + std::to_string(I), "fukuoka", Extra);
    m_Fleet.applyDeclaration();
    m_Fleet.waitReady();
  }
  Fleet m_Fleet;
};

const char *const Quiet = "[log]\nlevel = \"error\"\n";

// The time of one decode call made directly to an engine, median.
double directCall(const std::string &Address, unsigned Calls) {
  asio::io_context Io;
  net::HttpClient Client(Io.get_executor());
  std::vector<double> Times;
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
    net::HttpRequest Http{"POST", "/v1/stage", {}, Request.SerializeAsString()};
    const auto Begun = Clock::now();
    auto Answer =
        asio::co_spawn(Io, Client.exchange(net::parseAddress(Address), Http),
                       asio::use_future);
    Io.restart();
    Io.run();
    if (Answer.get().m_Status != 200)
      std::printf("direct call failed\n");
    Times.push_back(milliseconds(Clock::now() - Begun));
  }
  return bench::quantile(Times, 0.5);
}

void measureHop() {
  Stages With(1, 0, 1, Quiet);
  constexpr unsigned Tokens = 1000;
  const double Direct = directCall(With.m_Fleet.endpointAddress("a0"), Tokens);
  harness::EventStream Stream(With.m_Fleet.callerAddress("r0"),
                              "/v1/chat/completions",
                              With.m_Fleet.authHeaders(),
                              Fleet::completionBody("hop", Tokens, 1, true));
  std::vector<double> Gaps;
  auto Last = Clock::now();
  while (Stream.next()) {
    const auto Now = Clock::now();
    Gaps.push_back(milliseconds(Now - Last) / 3);
    Last = Now;
  }
  const double Hop = bench::quantile(Gaps, 0.5);
  std::printf("hop: direct call p50 %.3f ms; through the router p50 %.3f ms a "
              "hop; added %.3f ms\n",
              Direct, Hop, Hop - Direct);
  std::fflush(stdout);
}

void measureManyStreams(unsigned Streams, unsigned Tokens) {
  Stages With(4, 0, 2, Quiet);
  const auto memory = [&] {
    return bench::readCost(With.m_Fleet.process("r0").id()).m_ResidentMb +
           bench::readCost(With.m_Fleet.process("r1").id()).m_ResidentMb;
  };
  const auto cpu = [&] {
    return bench::readCost(With.m_Fleet.process("r0").id()).m_CpuSeconds +
           bench::readCost(With.m_Fleet.process("r1").id()).m_CpuSeconds;
  };
  const double Before = memory();
  const double CpuBefore = cpu();
  std::atomic<unsigned> Whole = 0;
  std::atomic<unsigned> Right = 0;
  std::vector<std::thread> Threads;
  const auto Begun = Clock::now();
  for (unsigned I = 0; I < Streams; ++I)
    Threads.emplace_back([&, I] {
      const std::string Prompt = "stream " + std::to_string(I);
      harness::EventStream Stream(
          With.m_Fleet.callerAddress(I % 2 ? "r0" : "r1"),
          "/v1/chat/completions", With.m_Fleet.authHeaders(),
          Fleet::completionBody(Prompt, Tokens, I, true));
      const auto Result = harness::readStream(Stream);
      Whole += Result.m_Complete;
      Right += Result.m_Text ==
               standin::referenceText("user: " + Prompt + "\nassistant:", 12,
                                      Tokens, I);
    });
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const double During = memory();
  for (std::thread &Each : Threads)
    Each.join();
  const double Time = milliseconds(Clock::now() - Begun) / 1000;
  const double Cpu = cpu() - CpuBefore;
  std::printf("streams: %u over 2 routers and 12 engines: %u whole, %u right, "
              "%zu violations; %.0f tokens/s; routers' memory %.0f MB before, "
              "%.0f MB during; %.3f ms of a core a token of 3 stages\n",
              Streams, Whole.load(), Right.load(),
              With.m_Fleet.violations().size(), Streams * Tokens / Time, Before,
              During, Cpu * 1000 / (Streams * Tokens));
  std::fflush(stdout);
}

// The longest gap between tokens around the loss of a stage.
double recoveryGap(const std::string &Extra, unsigned Context, int Signal) {
  Stages With(2, 20000, 1, std::string(Quiet) + Extra);
  std::string Prompt;
  for (unsigned I = 0; I < Context; ++I)
    Prompt += " w" + std::to_string(I);
  harness::EventStream Stream(
      With.m_Fleet.callerAddress("r0"), "/v1/chat/completions",
      With.m_Fleet.authHeaders(), Fleet::completionBody(Prompt, 200, 1, true));
  for (int I = 0; I < 20; ++I)
    Stream.next();
  const auto Report =
      With.m_Fleet.runCtl({"explain", Stream.header("Mimosadale-Request")});
  const bool First = Report.m_Output.find("b0[") != std::string::npos;
  With.m_Fleet.process(First ? "b0" : "b1").signal(Signal);
  double Longest = 0;
  auto Last = Clock::now();
  while (Stream.next()) {
    Longest = std::max(Longest, milliseconds(Clock::now() - Last));
    Last = Clock::now();
  }
  return Longest;
}

// What asking again from the start costs: until token 21 is there anew.
double restartTime(unsigned Context) {
  Stages With(2, 20000, 1, Quiet);
  std::string Prompt;
  for (unsigned I = 0; I < Context; ++I)
    Prompt += " w" + std::to_string(I);
  const auto Begun = Clock::now();
  harness::EventStream Stream(
      With.m_Fleet.callerAddress("r0"), "/v1/chat/completions",
      With.m_Fleet.authHeaders(), Fleet::completionBody(Prompt, 40, 1, true));
  for (int I = 0; I < 21; ++I)
    Stream.next();
  return milliseconds(Clock::now() - Begun);
}

void measureRecovery() {
  const char *const NoLog = "[limits]\nboundary_log_bytes = 0\n";
  std::printf("recovery, ms from the loss of the middle of three stages to the "
              "next token; engines at 20,000 positions/s\n");
  std::printf("%8s %12s %12s %12s %12s %12s\n", "context", "replaced",
              "new epoch", "asked again", "one prefill", "frozen+repl.");
  for (const unsigned Context : {256u, 1024u, 4096u, 8192u}) {
    std::printf("%8u %12.0f %12.0f %12.0f %12.0f %12.0f\n", Context,
                recoveryGap("", Context, SIGKILL),
                recoveryGap(NoLog, Context, SIGKILL), restartTime(Context),
                Context / 20.0, recoveryGap("", Context, SIGSTOP));
    std::fflush(stdout);
  }
}

} // namespace

// Without an argument all are measured; with one only that one.
int main(int Argc, char **Argv) {
  const std::string Only = Argc > 1 ? Argv[1] : "";
  if (Only.empty() || Only == "hop")
    measureHop();
  if (Only.empty() || Only == "streams")
    measureManyStreams(1000, 32);
  if (Only.empty() || Only == "recovery")
    measureRecovery();
}
