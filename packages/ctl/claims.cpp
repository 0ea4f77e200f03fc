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

json::object describe(const std::string &Key, const schema::ClaimRow &Claim) {
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

// Claims that need a hand: unknown ones, and claimed ones that may be held by a
// router that is gone.
bool needsHand(const schema::ClaimRow &Claim) {
  return Claim.state() == schema::UNKNOWN || Claim.state() == schema::CLAIMED;
}

int list(const CommandLine &Line, Session &With) {
  std::string Prefix = "claim/";
  if (Line.m_Arguments.size() > 1)
    Prefix += Line.m_Arguments[1] + "/";
  json::array All;
  for (const auto &Row : With.wait(With.table().scan(Prefix))) {
    const schema::ClaimRow Claim = parseClaim(Row);
    if (needsHand(Claim))
      All.push_back(describe(Row.m_Key, Claim));
  }
  if (Line.m_Json) {
    std::cout << json::serialize(All) << "\n";
    return ExitFine;
  }
  for (const json::value &Each : All) {
    const json::object &Entry = Each.as_object();
    std::cout << Entry.at("state").as_string().c_str() << "  "
              << Entry.at("row").as_string().c_str() << "  key "
              << Entry.at("key").as_string().c_str() << "  holder "
              << Entry.at("holder").as_string().c_str() << "\n";
  }
  std::cout << All.size() << " claims without an outcome\n";
  return ExitFine;
}

store::TableRow readRow(const CommandLine &Line, Session &With) {
  if (Line.m_Arguments.size() < 2)
    throw UsageError("claims " + Line.m_Arguments[0] + ": allowed: a row");
  const auto Row = With.wait(With.table().read(Line.m_Arguments[1]));
  if (!Row)
    throw Error("there is no row " + Line.m_Arguments[1]);
  return *Row;
}

int show(const CommandLine &Line, Session &With) {
  const store::TableRow Row = readRow(Line, With);
  const json::object Entry = describe(Row.m_Key, parseClaim(Row));
  if (Line.m_Json) {
    std::cout << json::serialize(Entry) << "\n";
    return ExitFine;
  }
  for (const auto &Field : Entry)
    std::cout << std::string(Field.key()) << ": "
              << json::serialize(Field.value()) << "\n";
  return ExitFine;
}

// Writes an operator's word under the version that was read, so that of two
// operators, or an operator and the holder, only the first one stands.
int settle(const CommandLine &Line, Session &With) {
  if (Line.m_Author.empty() || Line.m_Reason.empty())
    throw UsageError("claims settle: --author and --reason are needed");
  if (Line.m_Outcome != "ran" && Line.m_Outcome != "not-run")
    throw UsageError("--outcome: allowed: ran, not-run");
  const store::TableRow Row = readRow(Line, With);
  schema::ClaimRow Claim = parseClaim(Row);
  if (!needsHand(Claim)) {
    std::cerr << "the claim already has an outcome: "
              << schema::ClaimState_Name(Claim.state()) << "\n";
    return ExitConflict;
  }
  Claim.set_state(Line.m_Outcome == "ran" ? schema::SETTLED_RAN
                                          : schema::SETTLED_NOT_RUN);
  Claim.set_settled_by(Line.m_Author);
  Claim.set_settled_reason(Line.m_Reason);
  const auto Result = With.wait(With.table().transact(
      {{Row.m_Key, Row.m_Version, Claim.SerializeAsString()}}));
  using Kind = store::TableResult::Kind;
  if (Result.m_Kind == Kind::Committed) {
    std::cout << "settled as " << Line.m_Outcome << "\n";
    return ExitFine;
  }
  if (Result.m_Kind == Kind::Conflict) {
    std::cerr << "the claim changed meanwhile; show it again\n";
    return ExitConflict;
  }
  throw Error("the table gave no answer; show the claim to see whether the "
              "settlement stands");
}

} // namespace

int runClaims(const CommandLine &Line, Session &With) {
  const std::string Sub = Line.m_Arguments.empty() ? "" : Line.m_Arguments[0];
  if (Sub == "list")
    return list(Line, With);
  if (Sub == "show")
    return show(Line, With);
  if (Sub == "settle")
    return settle(Line, With);
  throw UsageError("claims: allowed: list, show, settle");
}

} // namespace mimosadale::ctl
