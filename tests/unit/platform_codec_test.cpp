// Decoding of the platform's formats, valid and malformed.
#include "platform/config_codec.h"
#include "platform/endpoint_codec.h"
#include "platform/json.h"
#include "platform/names.h"
#include "platform/request_headers.h"
#include "platform/router_rows_codec.h"
#include "platform/rows_codec.h"

#include <doctest/doctest.h>

using namespace mimosadale;
using namespace std::chrono_literals;

namespace {

const std::string Config = R"({"Version":7,
 "Routes":[{"Name":"r1","Host":"a.example","Prefix":"/p/","RouteType":"streaming",
   "TimeoutMs":20000,"TargetLatencyMs":500,"Priority":1,"MaxAttempts":2,
   "WeightedServices":[{"Service":"llm","Weight":90},{"Service":"app","Weight":10}],
   "Public":false,"StreamResume":true,"GapTargetMs":200},
  {"Name":"r2","Host":"a.example","Prefix":"/q/","RouteType":"non_idempotent",
   "TimeoutMs":1200,"Service":"app","MaxAttempts":1}],
 "Services":[{"Name":"llm","HealthCheckPath":"/health","MaxConnections":968,
   "Engine":{"Slots":192,"KvTokenBytes":590000,"Layers":80,"LayerMb":1750.0,
    "step_ms":0.85,"read_per_s":196000.0,"loads_at_once":6,"report_lag_ms":200.0,
    "Models":[{"Name":"m","LoadS":14.0}],"usual":{"prompt":772,"answer":172},
    "Kinds":[{"Name":"t4","SizeMb":14400.0,"pace":15.0,"ReadX":15.0}]}},
  {"Name":"app","HealthCheckPath":"/health","MaxConnections":96}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
   "IdleTimeoutMs":15000},
 "Tenants":[{"Name":"w","ApiKeys":["k1","k2"],"Priority":1}]})";

std::string replaceText(std::string Text, const std::string &Old,
                        const std::string &New) {
  const std::size_t Position = Text.find(Old);
  REQUIRE(Position != std::string::npos);
  return Text.replace(Position, Old.size(), New);
}

} // namespace

TEST_CASE(
    "a configuration is decoded with its routes, services, limits and keys") {
  const decide::RoutingConfig Routing = platform::decodeConfig(Config);
  CHECK(Routing.m_Version == 7);
  REQUIRE(Routing.m_Routes.size() == 2);
  CHECK(Routing.m_Routes[0].m_Kind == decide::CallKind::Stream);
  CHECK(Routing.m_Routes[0].m_Resumable);
  CHECK(Routing.m_Routes[0].m_Timeout == 20s);
  CHECK(Routing.m_Routes[0].m_TargetEventInterval == 200ms);
  CHECK(Routing.m_Routes[0].m_Services.size() == 2);
  CHECK(Routing.m_Routes[1].m_Kind == decide::CallKind::AtMostOnce);
  CHECK(Routing.m_Routes[1].m_Services[0].m_Service.str() == "app");
  REQUIRE(Routing.m_Services[0].m_Engine);
  CHECK(Routing.m_Services[0].m_Engine->m_LoadSeconds == 14.0);
  CHECK(Routing.m_Services[0].m_Engine->m_Kinds.at("t4").m_MemoryMb == 14400.0);
  CHECK_FALSE(Routing.m_Services[1].m_Engine);
  CHECK(Routing.m_Limits.m_IdleTimeout == 15s);
  CHECK(Routing.m_KeysRequired);
  CHECK(Routing.m_Workspaces[0].m_Keys.size() == 2);
}

TEST_CASE("a malformed configuration is refused with the field and the allowed "
          "values") {
  const auto ErrorOf = [](const std::string &Text) -> std::string {
    try {
      platform::decodeConfig(Text);
    } catch (const platform::DecodeError &Error) {
      return Error.what();
    }
    return "";
  };
  CHECK(ErrorOf(replaceText(Config, "streaming", "sometimes")) ==
        "RouteType: \"sometimes\": allowed: idempotent, non_idempotent, "
        "streaming");
  CHECK(ErrorOf(replaceText(Config, "\"Version\":7", "\"Version\":\"7\"")) ==
        "Version: allowed: a number");
  CHECK(ErrorOf("[]") == "body: allowed: a JSON object");
  CHECK(ErrorOf("") == "body: allowed: a JSON object");
}

TEST_CASE("an entry of the registry with an unusable field is refused") {
  const std::string Entry =
      R"({"Service":"llm","Address":"192.0.2.9:8080","Zone":"z","Version":"v1",
          "Slots":192,"State":"ready","RouteType":"t4","Sequence":4,
          "Layers":{"From":20,"Target":31,"Version":1},"born":17})";
  const auto Record = platform::decodeRegistryEntry("i-1", Entry);
  CHECK(Record.m_Layers == decide::LayerRange{20, 31});
  CHECK(Record.m_Accelerator == "t4");
  CHECK(Record.m_StartedMs == 17);
  CHECK_FALSE(Record.m_Leaving);
  for (const auto &[Old, New] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"ready\"", "\"dancing\""},
           {"\"ready\"", "5"},
           {"\"192.0.2.9:8080\"", "\"nowhere\""},
           {"\"Service\":\"llm\"", "\"Service\":[]"},
           {"\"From\":20", "\"From\":\"x\""},
           {"{\"Service\"", "\xff{\"Service\""}})
    CHECK_THROWS_AS(
        platform::decodeRegistryEntry("i-1", replaceText(Entry, Old, New)),
        platform::DecodeError);
}

TEST_CASE("a load report names the engines that requests wait for") {
  const auto Report = platform::decodeEngineReport(
      R"({"Busy":true,"Sequence":2,"Queued":1,"Running":12,"KvUsed":41000,
          "KvTotal":90000,"pace":2.5,
          "Stalled":[{"Id":"abc","Address":"192.0.2.9:8080"}]})");
  CHECK(Report.m_Load.m_Running == 12);
  CHECK(Report.m_Load.m_Slowdown == 2.5);
  CHECK(Report.m_Load.m_OrderInProgress);
  REQUIRE(Report.m_Stalled.size() == 1);
  CHECK(Report.m_Stalled[0].m_Address == "192.0.2.9:8080");
}

TEST_CASE("a request is forwarded without its API key, and the router's "
          "headers replace forged ones") {
  net::HttpRequest Original;
  Original.m_Method = "POST";
  Original.m_Target = "/p/x?y=1";
  Original.m_Body = "body";
  Original.m_Headers = {{"Host", "a.example"},
                        {"x-mimosadale-request-id", "abc"},
                        {"X-Mimosadale-Deadline-Ms", "2500"},
                        {"X-Mimosadale-Token-Count", "1460,80"},
                        {"X-Mimosadale-Length-Hint", "50"},
                        {"X-Mimosadale-Tenant", "forged"},
                        {"Last-Event-Id", "3"},
                        {"Connection", "keep-alive"},
                        {"Authorization", "Bearer secret"}};
  const platform::RequestHeaders Facts =
      platform::decodeRequestHeaders(Original);
  CHECK(Facts.m_Id.str() == "abc");
  CHECK(Facts.m_WorkspaceKey == "secret");
  CHECK(Facts.m_Deadline == Duration(2500ms));
  REQUIRE(Facts.m_Size);
  CHECK(Facts.m_Size->m_Prompt == 1460);
  CHECK(Facts.m_Size->m_ExpectedAnswer == 50);
  platform::ForwardHeaders ForwardFields;
  ForwardFields.m_TimeLeft = 1900ms;
  ForwardFields.m_Endpoint = EndpointId("i-1");
  ForwardFields.m_Workspace = "w";
  ForwardFields.m_LastEventId = "12";
  const net::HttpRequest Forwarded =
      platform::encodeForwardRequest(Original, ForwardFields);
  const auto Value = [&](const char *Name) {
    return net::findHeader(Forwarded.m_Headers, Name);
  };
  CHECK(Forwarded.m_Target == Original.m_Target);
  CHECK(Forwarded.m_Body == "body");
  CHECK(Value("Host") == "a.example");
  CHECK(Value(platform::DeadlineHeader) == "1900");
  CHECK(Value(platform::WorkspaceHeader) == "w");
  CHECK(Value(platform::ExpectInstanceHeader) == "i-1");
  CHECK(Value("Last-Event-Id") == "12");
  CHECK(Value("Authorization").empty());
  CHECK(Value("Connection").empty());
  CHECK(Value(platform::PathHeader).empty());
}

TEST_CASE(
    "an endpoint announces in an answer that it leaves or when to retry, and "
    "malformed values are ignored") {
  const auto Decode = [](unsigned Status, const char *Name, const char *Value) {
    net::HttpResponse Answer;
    Answer.m_Status = Status;
    Answer.m_Headers = {{Name, Value}};
    return platform::decodeResponseHeaders(Answer);
  };
  CHECK(Decode(200, "Server-Leaving", "1").m_Leaving);
  CHECK(Decode(503, "server-leaving", "1").m_Leaving);
  CHECK_FALSE(Decode(200, "Server-Leaving", "0").m_Leaving);
  CHECK(Decode(503, "Retry-After", "2").m_RetryAfter == 2s);
  CHECK(Decode(503, "Retry-After", "0.25").m_RetryAfter == 250ms);
  CHECK(Decode(503, "Retry-After", "1e300").m_RetryAfter == 1h);
  for (const char *Invalid :
       {"", "-1", "0", "nan", "inf-", "soon", "Fri, 04 Dec 2026 09:00:00 GMT"})
    CHECK_FALSE(Decode(503, "Retry-After", Invalid).m_RetryAfter);
  CHECK_FALSE(Decode(200, "Retry-After", "2").m_RetryAfter);
}

TEST_CASE(
    "an endpoint names in an answer how many requests a second it takes, and "
    "a limit that is no number counts as the lowest") {
  const auto Decode = [](const char *Value) {
    net::HttpResponse Answer;
    Answer.m_Headers = {{"server-limit", Value}};
    return platform::decodeResponseHeaders(Answer).m_RequestLimit;
  };
  CHECK(Decode("4.4") == 4.4);
  CHECK(Decode("0.05") == 0.05);
  CHECK(Decode("12") == 12);
  for (const char *Lowest : {"0", "-3", "", "nan", "inf", "many"})
    CHECK(Decode(Lowest) == 0);
  CHECK_FALSE(platform::decodeResponseHeaders({}).m_RequestLimit);
}

TEST_CASE("registry entries with figures out of bounds are refused") {
  const auto Decode = [](const std::string &Fields) {
    return platform::decodeRegistryEntry(
        "e", R"({"Service":"s","Address":"192.0.2.1:1","Zone":"z",
                 "State":"ready",)" +
                 Fields + "}");
  };
  CHECK(Decode(R"("Layers":{"From":0,"Target":8})").m_Layers.m_End == 8);
  for (const char *Invalid :
       {R"("Layers":{"From":-1,"Target":8})",
        R"("Layers":{"From":9,"Target":8})",
        R"("Layers":{"From":0,"Target":1e300})", R"("Layers":[7])",
        R"("Slots":-3)", R"("born":-1e30)", R"("RouteType":7)"})
    CHECK_THROWS_AS(Decode(Invalid), platform::DecodeError);
}

TEST_CASE("a caller's deadline out of range is clamped, and one that is not a "
          "number is ignored") {
  const auto DecodeDeadline = [](const char *Value) {
    net::HttpRequest Request;
    Request.m_Headers = {{"X-Mimosadale-Deadline-Ms", Value}};
    return platform::decodeRequestHeaders(Request).m_Deadline;
  };
  CHECK(DecodeDeadline("1500") == 1500ms);
  CHECK(DecodeDeadline("1e300") == 24h);
  CHECK(DecodeDeadline("-5") == 0ms);
  CHECK_FALSE(DecodeDeadline("nan"));
  CHECK_FALSE(DecodeDeadline("inf"));
}

TEST_CASE("the prompt parts of a request are decoded without its own, and odd "
          "entries are left out") {
  const auto Parts = [](const std::string &Text) {
    net::HttpRequest Request;
    Request.m_Headers = {{"X-Mimosadale-Prompt-Prefix", Text}};
    std::string Ids;
    for (const PromptPartId &Id :
         platform::decodeRequestHeaders(Request).m_SharedParts)
      Ids += Id.str() + ";";
    return Ids;
  };
  CHECK(Parts("5c1e:800,91bd:410,e440:250") == "5c1e;91bd;");
  CHECK(Parts("5c1e:800, 91bd:410 , e440") == "5c1e;91bd;");
  CHECK(Parts("5c1e:800").empty());
  CHECK(Parts("").empty());
  CHECK(Parts(":1,,x,last:2") == "x;");
  CHECK(Parts("5c1e:800,91bd:410,5c1e:800,e440:250") == "5c1e;91bd;");
}

// Guards against prompt parts that count as not there for their place or their
// length (review case 9).
TEST_CASE("all prompt parts are decoded: many, with long ids, over several "
          "lines") {
  const auto Parts = [](const std::vector<std::string> &Lines) {
    net::HttpRequest Request;
    for (const std::string &Line : Lines)
      Request.m_Headers.push_back({"X-Mimosadale-Prompt-Prefix", Line});
    return platform::decodeRequestHeaders(Request).m_SharedParts;
  };
  std::string Many;
  for (int I = 0; I < 2000; ++I)
    Many += std::to_string(I) + ":1,";
  CHECK(Parts({Many + "own:1"}).size() == 2000);
  CHECK(Parts({"a:1,b:2", "c:3,own:4"}).size() == 3);
  const std::string Long(100, 'a');
  const auto LongIds = Parts({Long + ":1," + Long + "b:1," + Long + ":1,c:3"});
  REQUIRE(LongIds.size() == 2);
  CHECK(LongIds[0] != LongIds[1]);
  CHECK(LongIds[0].str().size() < Long.size());
  CHECK(Parts({Long + ":1,x:1,own:1"})[0] == LongIds[0]);
}

TEST_CASE("an entry whose key cannot be sent in a header names no endpoint") {
  const std::string Text =
      R"({"Service":"s","Address":"127.0.0.1:1","Zone":"z","State":"ready"})";
  CHECK_NOTHROW(platform::decodeRegistryEntry("i-1", Text));
  for (const char *Key : {"", "i 1", "i\r\nX-Injected: 1", "i\x01", "\xff"})
    CHECK_THROWS_AS(platform::decodeRegistryEntry(Key, Text),
                    platform::DecodeError);
}

TEST_CASE("the lease's row keeps its holder and its expiry when encoded and "
          "decoded") {
  const decide::StoreVersion Nine(decide::StoreEra(2), 9);
  const auto Row =
      platform::decodeLease(platform::encodeLease("r1", 512), Nine);
  CHECK(Row.m_Holder.str() == "r1");
  CHECK(Row.m_UntilMs == 512);
  CHECK(Row.m_Version == Nine);
  CHECK_THROWS_AS(platform::decodeLease("{}", {}), platform::DecodeError);
}

TEST_CASE(
    "the era of the store's answers is decoded, 0 too, and one that states "
    "none has the lowest") {
  using platform::decodeEra;
  const decide::StoreEra None{};
  CHECK(decodeEra({}) == None);
  CHECK(decodeEra({{"Store-Era", "x"}}) == None);
  CHECK(decodeEra({{"Store-Era", "0"}}) > None);
  CHECK(decodeEra({{"store-era", "1"}}) > decodeEra({{"Store-Era", "0"}}));
  CHECK(platform::encodeEra(None).empty());
  CHECK(platform::encodeEra(decodeEra({{"Store-Era", "7"}})).front().m_Value ==
        "7");
  const auto Query = platform::decodeRowsQuery(
      "/v1/rows-feed?Table=op&After=12&WaitMs=800" +
      platform::encodeEraParameter(decide::StoreEra(3)));
  REQUIRE(Query);
  CHECK(Query->m_After == decide::StoreVersion(decide::StoreEra(3), 12));
}

TEST_CASE("rows forwarded between routers decode like those of the store") {
  platform::RowBatch Sent;
  Sent.m_Version = {decide::StoreEra(2), 9};
  Sent.m_Rows = {{"a", "value", {Sent.m_Version.era(), 7}, false},
                 {"b", "", Sent.m_Version, true}};
  const auto Era =
      platform::decodeEra(platform::encodeEra(Sent.m_Version.era()));
  const auto Page = platform::decodePage(platform::encodeRows(Sent), Era);
  CHECK_FALSE(Page.m_HasMore);
  CHECK(Page.m_Batch.m_Version == Sent.m_Version);
  REQUIRE(Page.m_Batch.m_Rows.size() == 2);
  CHECK(Page.m_Batch.m_Rows[0].m_Value == "value");
  CHECK(Page.m_Batch.m_Rows[1].m_Deleted);
  const auto Query =
      platform::decodeRowsQuery("/v1/rows-feed?Table=op&After=12&WaitMs=800");
  REQUIRE(Query);
  CHECK(Query->m_Table == "op");
  CHECK(Query->m_After == decide::StoreVersion({}, 12));
  CHECK(Query->m_Wait == 800ms);
  // A wait out of range is clamped to the longest one allowed.
  CHECK(platform::decodeRowsQuery(
            "/v1/rows-feed?Table=op&After=1&WaitMs=99999999999999999999")
            ->m_Wait == 30s);
  CHECK_FALSE(platform::decodeRowsQuery("/v1/rows-get?Table=op")->m_After);
  CHECK_FALSE(platform::decodeRowsQuery("/v1/rows-tx"));
  const auto Router = platform::decodeRouter(
      platform::encodeRouter({"192.0.2.1:7000", DataCentreId("x")}));
  CHECK(Router.m_PeerAddress == "192.0.2.1:7000");
  CHECK(Router.m_DataCentre.str() == "x");
  CHECK_THROWS_AS(platform::decodeRouter(R"({"peers":"?","data_centre":"x"})"),
                  platform::DecodeError);
}

TEST_CASE("rows that cannot be read are skipped and do not hide the others") {
  const auto Page = platform::decodePage(
      R"({"Ver":9,"HasMore":true,"Rows":[
            {"Key":"a","Ver":3,"Value":"YQ=="},
            {"Key":"b","Ver":-1,"Value":"YQ=="},
            {"Key":"c","Ver":1e300,"Value":"YQ=="},
            {"Key":"d","Ver":4,"Value":"no base64"},
            {"Ver":5,"Value":"YQ=="}, 7, null,
            {"Key":"e/ %\u00fc","Ver":6,"Value":"YmI="}]})");
  REQUIRE(Page.m_Batch.m_Rows.size() == 2);
  CHECK(Page.m_Batch.m_Rows[0].m_Value == "a");
  CHECK(Page.m_Batch.m_Rows[1].m_Version == decide::StoreVersion({}, 6));
  CHECK(Page.m_Batch.m_DecodeErrors.size() == 6);
  CHECK(Page.m_HasMore);
  // The next page begins after the last key, whatever bytes the key has.
  CHECK(Page.m_NextKey == "e%2F%20%25%C3%BC%00");
  for (const char *Invalid : {"", "[]", R"({"Rows":[]})", R"({"Ver":1e300})",
                              R"({"Ver":-1})", R"({"Ver":1,"Rows":{}})"})
    CHECK_THROWS_AS(platform::decodePage(Invalid), platform::DecodeError);
}
