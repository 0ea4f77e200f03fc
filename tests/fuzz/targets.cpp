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

void require(bool Holds, const char *What) {
  if (!Holds)
    throw std::logic_error(What);
}

void takeConfig(const std::string &Bytes) {
  RouteTableHolder Holder;
  if (!Holder.adopt(platform::decodeConfig(Bytes)))
    return;
  const RouteTable &Table = *Holder.current();
  for (const Route &Each : Table.config().m_Routes)
    if (const Route *Found = Table.find(Each.m_Host, Each.m_Prefix))
      require(!Found->m_Services.empty() &&
                  !Table.chooseService(*Found, 0.5).str().empty(),
              "a route that leads nowhere");
}

// An entry of another writer beside two sound engines.
void takeEntry(const std::string &Bytes) {
  Fleet Engines;
  Engines.put(engine("a", "a100s", {0, 40}), T0);
  Engines.put(engine("b", "a100s", {40, 80}), T0);
  Engines.put(platform::decodeRegistryEntry("c", Bytes), T0);
  Engines.onTick(T0 + std::chrono::seconds(1));
  planLayers(Engines, Llm, model());
  ChainRouter Chains;
  Chains.rebuild(Engines, Llm, model());
}

void takeReport(const std::string &Bytes) {
  Fleet Engines;
  Engines.put(engine("a", "a100s", {0, 80}), T0);
  Engines.onReport(EndpointId("a"), platform::decodeEngineReport(Bytes).m_Load,
                   T0);
  makeDigest(Engines, {}, 1, T0);
  ChainRouter Chains;
  Chains.rebuild(Engines, Llm, model());
  for (const Chain &Each : Chains.chains())
    Chains.utilization(Engines, Each, T0);
}

void takeRows(const std::string &Bytes) {
  const platform::RowsPage Page = platform::decodePage(Bytes);
  const platform::RowBatch &Got = Page.m_Batch;
  RowCache Cache;
  Cache.merge(Got.m_Rows, Got.m_Version, true);
  // What is passed on reads as what came.
  const auto Again = platform::decodePage(platform::encodeRows(Got)).m_Batch;
  require(Again.m_Rows.size() == Got.m_Rows.size() &&
              Again.m_Version == Got.m_Version && Again.m_DecodeErrors.empty(),
          "rows passed on differ");
  platform::decodeWriteResponse(Bytes);
}

// The first line is the target, each other one a header.
template <typename Message>
void readHead(const std::string &Bytes, Message &To, std::string &First) {
  std::istringstream Lines(Bytes);
  std::getline(Lines, First);
  for (std::string Line; std::getline(Lines, Line);)
    if (const std::size_t Colon = Line.find(": "); Colon != std::string::npos)
      To.m_Headers.push_back({Line.substr(0, Colon), Line.substr(Colon + 2)});
}

void takeRequest(const std::string &Bytes) {
  net::HttpRequest Request;
  readHead(Bytes, Request, Request.m_Target);
  const platform::RequestHeaders Facts =
      platform::decodeRequestHeaders(Request);
  if (Facts.m_Deadline)
    require(*Facts.m_Deadline >= Duration{} &&
                *Facts.m_Deadline <= std::chrono::hours(24),
            "a deadline out of bounds");
  if (Facts.m_Size)
    require(Facts.m_Size->tokens() >= 0, "a size below zero");
  platform::ForwardHeaders Added;
  Added.m_Endpoint = EndpointId("a");
  platform::encodeForwardRequest(Request, Added);
}

void takeAnswer(const std::string &Bytes) {
  net::HttpResponse Answer;
  std::string Status;
  readHead(Bytes, Answer, Status);
  const platform::ResponseHeaders Facts =
      platform::decodeResponseHeaders(Answer);
  if (Facts.m_RetryAfter)
    require(*Facts.m_RetryAfter >= Duration{}, "a pause below zero");
  platform::encodeResponseHead(Answer);
}

// However the bytes are cut, whole events and what is left are the same.
void takeEvents(const std::string &Bytes) {
  forward::EventSplitter Whole;
  Whole.buffer() = Bytes;
  const std::string Events = Whole.takeComplete();
  forward::EventSplitter Cut;
  std::string Parts;
  for (const char Each : Bytes) {
    Cut.buffer().push_back(Each);
    Parts += Cut.takeComplete();
  }
  require(Events == Parts, "events depend on how the bytes came");
  require(Whole.lastId() == Cut.lastId(), "the last id depends on it");
  require(Events + Whole.takeRemainder() == Bytes, "bytes are lost");
}

void takeLoads(const std::string &Bytes) {
  schema::LoadDigest Digest;
  schema::LoadQuestion Question;
  Fleet Engines;
  Engines.put(engine("a", "a100s", {0, 80}), T0);
  Engines.suspect(EndpointId("a"), "silent", T0);
  if (Digest.ParseFromString(Bytes)) {
    DigestTracker Source;
    const auto Taken =
        mergeDigest(Engines, Digest, T0 + std::chrono::seconds(5));
    Source.onDigest("r", Digest, Taken.m_Complete, T0);
    Source.question("r");
  }
  if (Question.ParseFromString(Bytes))
    makeDigest(Engines, Question, 1, T0 + std::chrono::seconds(5));
}

template <typename Message> void takeToml(const std::string &Bytes) {
  Message Into;
  const auto Faults = schema::parseToml("file.toml", Bytes, Into);
  schema::describeFaults(Faults);
  if (Faults.empty())
    schema::printToml(Into);
}

// An error that the parser states is its answer to bytes that mean nothing.
FuzzTarget stated(FuzzTarget Of) {
  return [Of](const std::string &Bytes) {
    try {
      Of(Bytes);
    } catch (const Error &) { // stated
    }
  };
}

} // namespace

const std::map<std::string, FuzzTarget> &fuzzTargets() {
  static const std::map<std::string, FuzzTarget> All{
      {"config", stated(takeConfig)},
      {"entry", stated(takeEntry)},
      {"report", stated(takeReport)},
      {"order_fault", stated([](const std::string &Bytes) {
         platform::decodeFaultAddress(Bytes);
       })},
      {"rows", stated(takeRows)},
      {"router", stated([](const std::string &Bytes) {
         platform::encodeRouter(platform::decodeRouter(Bytes));
       })},
      {"lease", stated([](const std::string &Bytes) {
         platform::decodeLease(Bytes, 1);
       })},
      {"query", stated([](const std::string &Bytes) {
         if (const auto Query = platform::decodeRowsQuery(Bytes))
           require(Query->m_Wait >= Duration{}, "a wait below zero");
       })},
      {"request", stated(takeRequest)},
      {"answer", stated(takeAnswer)},
      {"events", stated(takeEvents)},
      {"loads", stated(takeLoads)},
      {"settings", stated(takeToml<schema::ForwardSettings>)},
      {"declaration", stated(takeToml<schema::Declaration>)}};
  return All;
}

} // namespace mimosadale::tests
