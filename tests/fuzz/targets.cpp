#include "fuzz/targets.h"

#include "decide/chain_router.h"
#include "decide/layer_planner.h"
#include "decide/load_digest.h"
#include "decide/route_table.h"
#include "forward/event_splitter.h"
#include "platform/config_codec.h"
#include "platform/endpoint_codec.h"
#include "platform/request_headers.h"
#include "platform/router_rows_codec.h"
#include "platform/rows_codec.h"
#include "schema/generated/declaration.pb.h"
#include "schema/generated/settings.pb.h"
#include "schema/toml.h"
#include "unit/engine_fixture.h"

#include <sstream>
#include <stdexcept>

namespace mimosadale::tests {

namespace {

void require(bool Condition, const char *Message) {
  if (!Condition)
    throw std::logic_error(Message);
}

void fuzzConfig(const std::string &Bytes) {
  RouteTableHolder Holder;
  if (!Holder.adopt(platform::decodeConfig(Bytes)))
    return;
  const RouteTable &Table = *Holder.current();
  for (const Route &ExpectedRoute : Table.config().m_Routes)
    if (const Route *FoundRoute =
            Table.find(ExpectedRoute.m_Host, ExpectedRoute.m_Prefix))
      require(!FoundRoute->m_Services.empty() &&
                  !Table.chooseService(*FoundRoute, 0.5).str().empty(),
              "a route has no service");
}

// Plans layers and chains over two valid engines and the decoded entry.
void fuzzEntry(const std::string &Bytes) {
  Fleet Engines;
  Engines.put(engine("a", "a100s", {0, 40}), T0);
  Engines.put(engine("b", "a100s", {40, 80}), T0);
  Engines.put(platform::decodeRegistryEntry("c", Bytes), T0);
  Engines.onTick(T0 + std::chrono::seconds(1));
  planLayers(Engines, Llm, model());
  ChainRouter Chains;
  Chains.rebuild(Engines, Llm, model());
}

void fuzzReport(const std::string &Bytes) {
  Fleet Engines;
  Engines.put(engine("a", "a100s", {0, 80}), T0);
  Engines.onReport(EndpointId("a"), platform::decodeEngineReport(Bytes).m_Load,
                   T0);
  makeDigest(Engines, {}, 1, T0);
  ChainRouter Chains;
  Chains.rebuild(Engines, Llm, model());
  for (const Chain &Chain : Chains.chains())
    Chains.utilization(Engines, Chain, T0);
}

void fuzzRows(const std::string &Bytes) {
  const platform::RowsPage Page = platform::decodePage(Bytes);
  const platform::RowBatch &Rows = Page.m_Batch;
  RowCache Cache;
  Cache.merge(Rows.m_Rows, Rows.m_Version, true);
  // Decoding the re-encoded rows must yield the same rows.
  const auto DecodedRows =
      platform::decodePage(platform::encodeRows(Rows)).m_Batch;
  require(DecodedRows.m_Rows.size() == Rows.m_Rows.size() &&
              DecodedRows.m_Version == Rows.m_Version &&
              DecodedRows.m_DecodeErrors.empty(),
          "re-encoded rows differ from the decoded ones");
  platform::decodeWriteResponse(Bytes);
}

// Reads the first line of the input as the request target or status line, and
// each further line as a header.
template <typename Message>
void readHeaders(const std::string &Bytes, Message &Output,
                 std::string &FirstLine) {
  std::istringstream Lines(Bytes);
  std::getline(Lines, FirstLine);
  for (std::string Line; std::getline(Lines, Line);)
    if (const std::size_t Colon = Line.find(": "); Colon != std::string::npos)
      Output.m_Headers.push_back(
          {Line.substr(0, Colon), Line.substr(Colon + 2)});
}

void fuzzRequest(const std::string &Bytes) {
  net::HttpRequest Request;
  readHeaders(Bytes, Request, Request.m_Target);
  const platform::RequestHeaders Facts =
      platform::decodeRequestHeaders(Request);
  if (Facts.m_Deadline)
    require(*Facts.m_Deadline >= Duration{} &&
                *Facts.m_Deadline <= std::chrono::hours(24),
            "deadline is not within 0 to 24 h");
  if (Facts.m_Size)
    require(Facts.m_Size->tokens() >= 0, "request size is negative");
  platform::ForwardHeaders Headers;
  Headers.m_Endpoint = EndpointId("a");
  platform::encodeForwardRequest(Request, Headers);
}

void fuzzResponse(const std::string &Bytes) {
  net::HttpResponse Response;
  std::string Status;
  readHeaders(Bytes, Response, Status);
  const platform::ResponseHeaders Facts =
      platform::decodeResponseHeaders(Response);
  if (Facts.m_RetryAfter)
    require(*Facts.m_RetryAfter >= Duration{}, "pause is negative");
  platform::encodeResponseHead(Response);
}

// Complete events, the last event ID and the rest must not depend on how the
// bytes are split into reads.
void fuzzEvents(const std::string &Bytes) {
  forward::EventSplitter AtOnce;
  AtOnce.buffer() = Bytes;
  const std::string Events = AtOnce.takeComplete();
  forward::EventSplitter ByteWise;
  std::string ByteWiseEvents;
  for (const char Byte : Bytes) {
    ByteWise.buffer().push_back(Byte);
    ByteWiseEvents += ByteWise.takeComplete();
  }
  require(Events == ByteWiseEvents, "events depend on how the input is split");
  require(AtOnce.lastId() == ByteWise.lastId(),
          "last event ID depends on how the input is split");
  require(Events + AtOnce.takeRemainder() == Bytes,
          "events and rest do not add up to the input");
}

void fuzzLoads(const std::string &Bytes) {
  schema::LoadDigest Digest;
  schema::LoadQuestion Question;
  Fleet Engines;
  Engines.put(engine("a", "a100s", {0, 80}), T0);
  Engines.suspect(EndpointId("a"), "silent", T0);
  if (Digest.ParseFromString(Bytes)) {
    DigestTracker Source;
    const auto Result =
        mergeDigest(Engines, Digest, T0 + std::chrono::seconds(5));
    Source.onDigest("r", Digest, Result.m_Complete, T0);
    Source.question("r");
  }
  if (Question.ParseFromString(Bytes))
    makeDigest(Engines, Question, 1, T0 + std::chrono::seconds(5));
}

template <typename Message> void fuzzToml(const std::string &Bytes) {
  Message Output;
  const auto Faults = schema::parseToml("file.toml", Bytes, Output);
  schema::formatDiagnostics(Faults);
  if (Faults.empty())
    schema::printToml(Output);
}

// Wraps a target so that `Error`, the rejection of malformed input, passes.
FuzzTarget allowParseErrors(FuzzTarget Target) {
  return [Target](const std::string &Bytes) {
    try {
      Target(Bytes);
    } catch (const Error &) { // malformed input
    }
  };
}

} // namespace

const std::map<std::string, FuzzTarget> &fuzzTargets() {
  static const std::map<std::string, FuzzTarget> Targets{
      {"config", allowParseErrors(fuzzConfig)},
      {"entry", allowParseErrors(fuzzEntry)},
      {"report", allowParseErrors(fuzzReport)},
      {"order_fault", allowParseErrors([](const std::string &Bytes) {
         platform::decodeFaultAddress(Bytes);
       })},
      {"rows", allowParseErrors(fuzzRows)},
      {"router", allowParseErrors([](const std::string &Bytes) {
         platform::encodeRouter(platform::decodeRouter(Bytes));
       })},
      {"lease", allowParseErrors([](const std::string &Bytes) {
         platform::decodeLease(Bytes, {});
       })},
      {"query", allowParseErrors([](const std::string &Bytes) {
         if (const auto Query = platform::decodeRowsQuery(Bytes))
           require(Query->m_Wait >= Duration{}, "wait is negative");
       })},
      {"request", allowParseErrors(fuzzRequest)},
      {"answer", allowParseErrors(fuzzResponse)},
      {"events", allowParseErrors(fuzzEvents)},
      {"loads", allowParseErrors(fuzzLoads)},
      {"settings", allowParseErrors(fuzzToml<schema::ForwardSettings>)},
      {"declaration", allowParseErrors(fuzzToml<schema::Declaration>)}};
  return Targets;
}

} // namespace mimosadale::tests
