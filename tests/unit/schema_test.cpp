// Parsing of settings, declarations and inventories: every fault is reported
// with its position.
#include "ctl/difference.h"
#include "ctl/inventory.h"
#include "router/completion_request.h"
#include "schema/generated/settings.pb.h"
#include "schema/toml.h"

#include <doctest/doctest.h>
#include <fstream>

using namespace mimosadale;

namespace {

schema::ColumnMap columnMap() {
  schema::ColumnMap Map;
  Map.set_name("Asset");
  Map.set_data_centre("Site");
  Map.set_address("Address");
  Map.set_kind("Type");
  Map.set_model("Model");
  Map.set_version("Version");
  Map.set_first_layer("From");
  Map.set_end_layer("To");
  return Map;
}

const std::string CsvHeader = "Asset,Site,Address,Type,Model,Version,From,To\n";

} // namespace

TEST_CASE("TOML: a value out of range, of a wrong type or under an unknown key "
          "is reported with what is allowed") {
  schema::LimitSettings Limits;
  CHECK(schema::parseToml("f", "body_bytes = 2048", Limits).empty());
  CHECK(Limits.body_bytes() == 2048);
  CHECK(Limits.connections() == 4096);
  struct Case {
    std::string m_Text;
    std::string m_Fault;
  };
  const Case Cases[] = {
      {"body_bytes = 1", "f:1: body_bytes: allowed: a whole number from 1024"},
      {"body_bytes = 2048.5", "allowed: a whole number"},
      {"body_bytes = \"x\"", "allowed: a whole number"},
      {"\nbody = 1", "f:2: body: unknown key; allowed: header_bytes"},
      {"body_bytes = ", "f:1: "},
      {"retry_fraction = 2", "allowed: a number from 0 to 1"}};
  for (const Case &Test : Cases) {
    INFO(Test.m_Text);
    schema::LimitSettings Parsed;
    const auto Faults = schema::parseToml("f", Test.m_Text, Parsed);
    REQUIRE(Faults.size() == 1);
    CHECK(schema::formatDiagnostics(Faults).find(Test.m_Fault) !=
          std::string::npos);
  }
}

TEST_CASE("TOML: printed settings parse back to the same values and never show "
          "secrets") {
  schema::PeerSettings Peers;
  CHECK(schema::parseToml("f",
                          "address = \"a\"\nseeds = [\"x\", \"y\"]\n"
                          "[[keys]]\nid = 4\nsecret = \"hidden\"",
                          Peers)
            .empty());
  const std::string Text = schema::printToml(Peers);
  CHECK(Text.find("hidden") == std::string::npos);
  schema::PeerSettings Reparsed;
  CHECK(schema::parseToml("f", Text, Reparsed).empty());
  Reparsed.mutable_keys(0)->set_secret("hidden");
  CHECK(Reparsed.SerializeAsString() == Peers.SerializeAsString());
}

TEST_CASE("inventory: faulty rows are reported by line and field, also after a "
          "quoted line break") {
  schema::Declaration Declared;
  const auto Faults = ctl::importInventory(
      "r.csv",
      CsvHeader + "e1,fukuoka,127.0.0.1:1,engine,guide,1,0,8\n"
                  "e2,fukuoka,nowhere,engine,guide,1,0,8\n"
                  "\"e\n3\",fukuoka,127.0.0.1:3,engine,guide,1,0,many\n"
                  "e1,,127.0.0.1:1,thing,,,,\n",
      columnMap(), Declared);
  const std::string Text = schema::formatDiagnostics(Faults);
  INFO(Text);
  CHECK(Text.find("r.csv:3: address: \"nowhere\" is not an address") !=
        std::string::npos);
  CHECK(Text.find("r.csv:4: end_layer: \"many\": allowed: a whole number") !=
        std::string::npos);
  CHECK(Text.find("r.csv:6: kind: \"thing\": allowed: engine, plain") !=
        std::string::npos);
  CHECK(Text.find("r.csv:6: data_centre") != std::string::npos);
  CHECK(Text.find("r.csv:6: name: \"e1\" stands twice") != std::string::npos);
}

TEST_CASE("inventory: a missing column, an unclosed quote or an empty file is "
          "reported") {
  schema::Declaration Declared;
  CHECK(schema::formatDiagnostics(ctl::importInventory("r.csv", "Asset,Site\n",
                                                       columnMap(), Declared))
            .find("there is no column \"Address\"") != std::string::npos);
  CHECK_FALSE(
      ctl::importInventory("r.csv", CsvHeader + "\"open", columnMap(), Declared)
          .empty());
  CHECK_FALSE(ctl::importInventory("r.csv", "", columnMap(), Declared).empty());
}

TEST_CASE("declarations: layers that no set of endpoints holds completely are "
          "reported") {
  schema::Declaration Declared;
  auto &Model = *Declared.add_models();
  Model.set_name("guide");
  Model.set_version("1");
  Model.set_layers(8);
  const auto AddEndpoint = [&](const char *Name, std::uint32_t First,
                               std::uint32_t End) {
    auto &Endpoint = *Declared.add_endpoints();
    Endpoint.set_name(Name);
    Endpoint.set_kind(schema::ENGINE);
    Endpoint.set_model("guide");
    Endpoint.set_version("1");
    Endpoint.set_first_layer(First);
    Endpoint.set_end_layer(End);
  };
  AddEndpoint("a", 0, 4);
  CHECK(schema::formatDiagnostics(ctl::validateDeclaration("f", Declared))
            .find("no endpoints together hold all layers") !=
        std::string::npos);
  AddEndpoint("b", 4, 8);
  CHECK(ctl::validateDeclaration("f", Declared).empty());
  AddEndpoint("c", 4, 9);
  CHECK_FALSE(ctl::validateDeclaration("f", Declared).empty());
}

TEST_CASE("the example declaration in the repository loads without faults") {
  const auto Loaded = ctl::loadDeclaration(std::string(MIMOSADALE_SOURCE) +
                                           "/examples/hinokage.toml");
  CHECK(schema::formatDiagnostics(Loaded.m_Faults) == "");
  CHECK(Loaded.m_Declaration.endpoints_size() == 8);
}

TEST_CASE(
    "a difference names the changed entry and never shows a token's hash") {
  schema::Declaration Before;
  auto &Workspace = *Before.add_workspaces();
  Workspace.set_name("counter");
  Workspace.set_weight(1);
  Workspace.set_token_sha256("0123456789abcdef");
  schema::Declaration After = Before;
  CHECK(ctl::describeDifference(Before, After) == "");
  After.mutable_workspaces(0)->set_weight(4);
  After.mutable_workspaces(0)->set_token_sha256("fedcba9876543210");
  After.add_workspaces()->set_name("desk");
  const std::string Text = ctl::describeDifference(Before, After);
  INFO(Text);
  CHECK(Text.find("weight: 1 -> 4") != std::string::npos);
  CHECK(Text.find("desk") != std::string::npos);
  CHECK(Text.find("0123456789abcdef") == std::string::npos);
}

TEST_CASE("event ids parse back, and malformed ones are refused") {
  const auto Id = router::parseEventId(router::formatEventId({300, 0xabcdef}));
  CHECK(Id.m_Tokens == 300);
  CHECK(Id.m_Hash == 0xabcdef);
  for (const char *Invalid : {"", ":", "5", "5:", ":5", "g:1", "1:2:3", "-1:2"})
    CHECK_THROWS(router::parseEventId(Invalid));
}

TEST_CASE(
    "a router's settings accept fractions where the platform may give them") {
  schema::ForwardSettings Settings;
  const auto Faults = schema::parseToml("f",
                                        "name = \"a\"\ndata_centre = \"b\"\n"
                                        "callers = \"192.0.2.1:1\"\n"
                                        "readiness = \"192.0.2.1:2\"\n"
                                        "metrics = \"192.0.2.1:3\"\n"
                                        "peers = \"192.0.2.1:4\"\n"
                                        "stop_within_seconds = 7.5\n"
                                        "engine_silence_ms = 1999.5\n"
                                        "memory_mb = 170.7\n"
                                        "[store]\naddress = \"192.0.2.2:1\"\n"
                                        "[retries]\nfraction = 0.2\n"
                                        "slack = 57.4\nwindow_seconds = 9.5\n",
                                        Settings);
  CHECK(schema::formatDiagnostics(Faults).empty());
  CHECK(Settings.retries().slack() == 57.4);
}
