// Replays the traces of traces/: the decisions must give exactly the recorded
// actions, each time.
#include "decide/trace.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <google/protobuf/util/json_util.h>
#include <sstream>

using namespace mimosadale;

namespace {

template <typename Trace> Trace readTrace(const std::filesystem::path &File) {
  std::ostringstream Text;
  Text << std::ifstream(File).rdbuf();
  Trace Message;
  const auto Parsed =
      google::protobuf::util::JsonStringToMessage(Text.str(), &Message);
  INFO(File.string());
  REQUIRE(Parsed.ok());
  return Message;
}

} // namespace

TEST_CASE("traces: every recorded trace replays to its recorded actions and "
          "states its outcome") {
  unsigned Claims = 0;
  unsigned Pipelines = 0;
  const std::filesystem::path TraceDirectory =
      std::filesystem::path(MIMOSADALE_SOURCE) / "traces";
  for (const auto &Entry :
       std::filesystem::directory_iterator(TraceDirectory)) {
    const std::string Name = Entry.path().filename().string();
    INFO(Name);
    if (Name.starts_with("claim-")) {
      const auto Trace = readTrace<schema::ClaimTrace>(Entry.path());
      CHECK(decide::replay(Trace) == "");
      CHECK(decide::replay(Trace) == "");
      CHECK_FALSE(Trace.outcome().empty());
      ++Claims;
      bool OutcomeRecorded = false;
      for (const auto &Step : Trace.steps())
        for (const std::string &Action : Step.actions())
          OutcomeRecorded |= Action == Trace.outcome();
      CHECK(OutcomeRecorded);
    } else if (Name.starts_with("pipeline-")) {
      const auto Trace = readTrace<schema::PipelineTrace>(Entry.path());
      CHECK(decide::replay(Trace) == "");
      CHECK(decide::replay(Trace) == "");
      CHECK(Trace.outcome() == "complete");
      ++Pipelines;
    }
  }
  CHECK(Claims >= 5);
  CHECK(Pipelines >= 4);
}

TEST_CASE(
    "traces: replay reports a decision that differs from the recorded one") {
  schema::ClaimTrace Trace;
  Trace.set_deadline_us(1000000);
  Trace.set_send_before_us(1000000);
  Trace.add_steps()->set_start(true);
  CHECK(decide::replay(Trace).find("write CLAIMED over version 0") !=
        std::string::npos);
  Trace.mutable_steps(0)->add_actions("write CLAIMED over version 0");
  CHECK(decide::replay(Trace) == "");
}
