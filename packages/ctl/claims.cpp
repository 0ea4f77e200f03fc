#include "ctl/claims.h"

#include <boost/json.hpp>
#include <iostream>

namespace mimosadale::ctl {

namespace json = boost::json;

namespace {

schema::ClaimRow parseClaim(const store::TableRow &Row) {
  schema::ClaimRow Claim;
  if (!Claim.ParseFromString(Row.m_Value))
    throw Error("the row " + Row.m_Key + " is damaged");
  return Claim;
}

json::object toJson(const std::string &Key, const schema::ClaimRow &Claim) {
  json::object Entry{{"row", Key},
                     {"state", schema::ClaimState_Name(Claim.state())},
                     {"workspace", Claim.workspace()},
                     {"service", Claim.service()},
                     {"key", Claim.key()},
                     {"holder", Claim.holder()},
                     {"attempt", Claim.attempt()},
                     {"unix_ms", Claim.unix_ms()}};
  if (!Claim.settled_by().empty()) {
    Entry["settled_by"] = Claim.settled_by();
    Entry["settled_reason"] = Claim.settled_reason();
  }
  return Entry;
}

// Whether an operator may have to settle the claim. A claim in state CLAIMED
// counts because its holder may be a router that no longer runs.
bool needsSettlement(const schema::ClaimRow &Claim) {
  return Claim.state() == schema::UNKNOWN || Claim.state() == schema::CLAIMED;
}

int listClaims(const CommandLine &Line, Session &Clients) {
  std::string Prefix = "claim/";
  if (Line.m_Arguments.size() > 1)
    Prefix += Line.m_Arguments[1] + "/";
  json::array Entries;
  for (const auto &Row : Clients.wait(Clients.table().scan(Prefix))) {
    const schema::ClaimRow Claim = parseClaim(Row);
    if (needsSettlement(Claim))
      Entries.push_back(toJson(Row.m_Key, Claim));
  }
  if (Line.m_Json) {
    std::cout << json::serialize(Entries) << "\n";
    return ExitSuccess;
  }
  for (const json::value &Value : Entries) {
    const json::object &Entry = Value.as_object();
    std::cout << Entry.at("state").as_string().c_str() << "  "
              << Entry.at("row").as_string().c_str() << "  key "
              << Entry.at("key").as_string().c_str() << "  holder "
              << Entry.at("holder").as_string().c_str() << "\n";
  }
  std::cout << Entries.size() << " claims without an outcome\n";
  return ExitSuccess;
}

store::TableRow readClaimRow(const CommandLine &Line, Session &Clients) {
  if (Line.m_Arguments.size() < 2)
    throw UsageError("claims " + Line.m_Arguments[0] + ": allowed: a row");
  const auto Row = Clients.wait(Clients.table().read(Line.m_Arguments[1]));
  if (!Row)
    throw Error("there is no row " + Line.m_Arguments[1]);
  return *Row;
}

int showClaim(const CommandLine &Line, Session &Clients) {
  const store::TableRow Row = readClaimRow(Line, Clients);
  const json::object Entry = toJson(Row.m_Key, parseClaim(Row));
  if (Line.m_Json) {
    std::cout << json::serialize(Entry) << "\n";
    return ExitSuccess;
  }
  for (const auto &Field : Entry)
    std::cout << std::string(Field.key()) << ": "
              << json::serialize(Field.value()) << "\n";
  return ExitSuccess;
}

// Records the outcome that the operator states. The write is conditional on the
// version read, so if two operators, or an operator and the holder, write at
// the same time, only the first write succeeds.
int settleClaim(const CommandLine &Line, Session &Clients) {
  if (Line.m_Author.empty() || Line.m_Reason.empty())
    throw UsageError("claims settle: --author and --reason are needed");
  if (Line.m_Outcome != "ran" && Line.m_Outcome != "not-run")
    throw UsageError("--outcome: allowed: ran, not-run");
  const store::TableRow Row = readClaimRow(Line, Clients);
  schema::ClaimRow Claim = parseClaim(Row);
  if (!needsSettlement(Claim)) {
    std::cerr << "the claim already has an outcome: "
              << schema::ClaimState_Name(Claim.state()) << "\n";
    return ExitConflict;
  }
  Claim.set_state(Line.m_Outcome == "ran" ? schema::SETTLED_RAN
                                          : schema::SETTLED_NOT_RUN);
  Claim.set_settled_by(Line.m_Author);
  Claim.set_settled_reason(Line.m_Reason);
  const auto Result = Clients.wait(Clients.table().transact(
      {{Row.m_Key, Row.m_Version, Claim.SerializeAsString()}}));
  using Kind = store::TableResult::Kind;
  if (Result.m_Kind == Kind::Committed) {
    std::cout << "settled as " << Line.m_Outcome << "\n";
    return ExitSuccess;
  }
  if (Result.m_Kind == Kind::Conflict) {
    std::cerr << "the claim changed meanwhile; show it again\n";
    return ExitConflict;
  }
  throw Error("the table gave no answer; show the claim to see whether the "
              "settlement stands");
}

} // namespace

int runClaims(const CommandLine &Line, Session &Clients) {
  const std::string Subcommand =
      Line.m_Arguments.empty() ? "" : Line.m_Arguments[0];
  if (Subcommand == "list")
    return listClaims(Line, Clients);
  if (Subcommand == "show")
    return showClaim(Line, Clients);
  if (Subcommand == "settle")
    return settleClaim(Line, Clients);
  throw UsageError("claims: allowed: list, show, settle");
}

} // namespace mimosadale::ctl
