#include "ctl/commands.h"

#include "ctl/claims.h"
#include "ctl/difference.h"
#include "ctl/inventory.h"
#include "ctl/session.h"
#include "rpc/operator_caller.h"
#include "store/digest.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <openssl/rand.h>
#include <thread>

namespace mimosadale::ctl {

namespace json = boost::json;

namespace {

// How long `apply` waits to see the change in force, and how often it looks.
constexpr auto InForceBound = std::chrono::seconds(5);
constexpr auto InForcePause = std::chrono::milliseconds(50);

rpc::OperatorCaller callerOf(Session &With, const std::string &Address) {
  return rpc::OperatorCaller([&With, Address](const std::string &Body) {
    return With.callRouter(Address, Body);
  });
}

LoadedDeclaration loadGiven(const CommandLine &Line) {
  if (Line.m_Declaration.empty())
    throw UsageError("--declaration is needed for " + Line.m_Command);
  return loadDeclaration(Line.m_Declaration);
}

int check(const CommandLine &Line, Session &) {
  const LoadedDeclaration Loaded = loadGiven(Line);
  std::cerr << schema::formatDiagnostics(Loaded.m_Faults);
  if (!Loaded.m_Faults.empty())
    return ExitBadInput;
  std::cout << Loaded.m_Declaration.endpoints_size() << " endpoints, "
            << Loaded.m_Declaration.services_size() << " services, "
            << Loaded.m_Declaration.models_size() << " models, "
            << Loaded.m_Declaration.workspaces_size() << " workspaces\n";
  return ExitFine;
}

// The configuration in force, and its declaration.
struct InForce {
  store::StoredGeneration m_Stored;
  schema::Declaration m_Declared;
};

InForce readInForce(Session &With) {
  InForce Now;
  if (const auto Stored = With.wait(With.config().current())) {
    Now.m_Stored = *Stored;
    Now.m_Declared = With.wait(With.config().load(Stored->m_Row));
  }
  return Now;
}

int plan(const CommandLine &Line, Session &With) {
  const LoadedDeclaration Loaded = loadGiven(Line);
  std::cerr << schema::formatDiagnostics(Loaded.m_Faults);
  if (!Loaded.m_Faults.empty())
    return ExitBadInput;
  const InForce Now = readInForce(With);
  std::cout << "against generation " << Now.m_Stored.m_Row.generation()
            << ":\n";
  const std::string Difference =
      describeDifference(Now.m_Declared, Loaded.m_Declaration);
  std::cout << (Difference.empty() ? "nothing changes\n" : Difference);
  return ExitFine;
}

json::object routerStatus(Session &With, const std::string &Address,
                          bool Detail) {
  auto Caller = callerOf(With, Address);
  return json::parse(Caller.status(Detail)).as_object();
}

std::uint64_t generationOf(const json::object &Status) {
  const auto *Found = Status.if_contains("generation");
  return Found ? Found->to_number<std::uint64_t>() : 0;
}

// Operators' addresses of the routers given and of all that they know, by name.
std::map<std::string, std::string> allRouters(const CommandLine &Line,
                                              Session &With) {
  std::map<std::string, std::string> Addresses;
  for (const std::string &Address : Line.m_Routers) {
    try {
      const json::object Status = routerStatus(With, Address, false);
      for (const auto &Peer : Status.at("peers").as_object()) {
        const json::object &Entry = Peer.value().as_object();
        if (Entry.at("state").as_string() != "dead")
          Addresses[std::string(Peer.key())] =
              std::string(Entry.at("operators_address").as_string());
      }
    } catch (const std::exception &) {
      Addresses[Address] = Address;
    }
  }
  return Addresses;
}

// Routers that are not yet seen to have the generation, with what is known.
std::map<std::string, std::string>
lagging(Session &With, const std::map<std::string, std::string> &Routers,
        std::uint64_t Generation) {
  std::map<std::string, std::string> Late;
  for (const auto &[Name, Address] : Routers) {
    try {
      const std::uint64_t Has =
          generationOf(routerStatus(With, Address, false));
      if (Has < Generation)
        Late[Name] = "has generation " + std::to_string(Has);
    } catch (const std::exception &Wrong) {
      Late[Name] = std::string("cannot be reached: ") + Wrong.what();
    }
  }
  return Late;
}

int watchInForce(const CommandLine &Line, Session &With,
                 std::uint64_t Generation) {
  if (Line.m_Routers.empty())
    return ExitFine;
  const auto Begun = std::chrono::steady_clock::now();
  const auto Routers = allRouters(Line, With);
  auto Late = lagging(With, Routers, Generation);
  while (!Late.empty() &&
         std::chrono::steady_clock::now() - Begun < InForceBound) {
    std::this_thread::sleep_for(InForcePause);
    Late = lagging(With, Routers, Generation);
  }
  const auto Taken = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - Begun);
  for (const auto &[Router, What] : Late)
    std::cout << "not in force yet on " << Router << ": " << What << "\n";
  if (!Late.empty())
    return ExitIncomplete;
  std::cout << "in force on all " << Routers.size() << " routers seen, after "
            << Taken.count() << " ms\n";
  return ExitFine;
}

int apply(const CommandLine &Line, Session &With) {
  if (Line.m_Author.empty() || Line.m_Reason.empty())
    throw UsageError("apply: --author and --reason are needed");
  const LoadedDeclaration Loaded = loadGiven(Line);
  std::cerr << schema::formatDiagnostics(Loaded.m_Faults);
  if (!Loaded.m_Faults.empty())
    return ExitBadInput;
  const InForce Now = readInForce(With);
  if (!Line.m_Arguments.empty() &&
      Line.m_Arguments[0] != std::to_string(Now.m_Stored.m_Row.generation())) {
    std::cerr << "generation " << Now.m_Stored.m_Row.generation()
              << " is in force, by " << Now.m_Stored.m_Row.author() << ": "
              << Now.m_Stored.m_Row.reason() << "; plan again\n";
    return ExitConflict;
  }
  const auto Stands = With.wait(With.config().apply(
      Loaded.m_Declaration, Now.m_Stored, Line.m_Author, Line.m_Reason));
  const auto Sections = store::splitSections(Loaded.m_Declaration);
  bool Ours = Stands.m_Row.author() == Line.m_Author &&
              Stands.m_Row.reason() == Line.m_Reason &&
              Stands.m_Row.generation() == Now.m_Stored.m_Row.generation() + 1;
  for (std::size_t I = 0; Ours && I < Sections.size(); ++I)
    Ours = store::sha256Hex(Sections[I]) ==
           Stands.m_Row.sections(static_cast<int>(I));
  if (!Ours) {
    std::cerr << "another operator came first: generation "
              << Stands.m_Row.generation() << " by " << Stands.m_Row.author()
              << ": " << Stands.m_Row.reason() << "\n"
              << describeDifference(
                     Now.m_Declared,
                     With.wait(With.config().load(Stands.m_Row)));
    return ExitConflict;
  }
  std::cout << "accepted as generation " << Stands.m_Row.generation() << "\n";
  return watchInForce(Line, With, Stands.m_Row.generation());
}

// Prints one router's status on few lines: what changed last, by whom, and what
// needs a hand.
void printStatus(const json::object &Status) {
  const auto text = [&](const char *Field) -> std::string {
    const auto *Found = Status.if_contains(Field);
    return !Found ? "-"
                  : (Found->is_string() ? std::string(Found->as_string())
                                        : json::serialize(*Found));
  };
  std::cout << text("name") << " in " << text("data_centre") << ": generation "
            << text("generation") << " by " << text("author") << " ("
            << text("reason") << ")\n  " << text("requests_in_progress")
            << " requests, " << text("requests_queued") << " queued, "
            << text("claims_in_progress") << " claims in progress, "
            << text("endpoints_usable") << " endpoints usable\n";
  for (const json::value &Each : Status.at("endpoints").as_array()) {
    const json::object &Entry = Each.as_object();
    std::cout << "  endpoint " << Entry.at("name").as_string().c_str() << ": "
              << Entry.at("state").as_string().c_str()
              << (Entry.at("leaving").as_bool() ? ", leaving" : "") << "\n";
  }
  const auto *Peers = Status.if_contains("peers");
  for (const auto &Peer :
       Peers && Peers->is_object() ? Peers->as_object() : json::object()) {
    const json::object &Entry = Peer.value().as_object();
    std::cout << "  router " << std::string(Peer.key()) << " in "
              << Entry.at("data_centre").as_string().c_str() << ": "
              << Entry.at("state").as_string().c_str() << ", generation "
              << generationOf(Entry) << "\n";
  }
}

int status(const CommandLine &Line, Session &With) {
  if (Line.m_Routers.empty())
    throw UsageError("status: --router is needed");
  int Exit = ExitFine;
  for (const std::string &Address : Line.m_Routers) {
    try {
      const json::object Status = routerStatus(With, Address, false);
      if (Line.m_Json)
        std::cout << json::serialize(Status) << "\n";
      else
        printStatus(Status);
    } catch (const std::exception &Wrong) {
      std::cerr << "router " << Address << ": " << Wrong.what() << "\n";
      Exit = ExitFailed;
    }
  }
  return Exit;
}

// Writes a drain, or takes it back, under the version that was read.
int drain(const CommandLine &Line, Session &With) {
  if (Line.m_Arguments.size() != 1)
    throw UsageError(Line.m_Command + ": allowed: one endpoint or host");
  if (Line.m_Author.empty() || Line.m_Reason.empty())
    throw UsageError(Line.m_Command + ": --author and --reason are needed");
  const std::string Key = store::DrainPrefix + Line.m_Arguments[0];
  const auto Standing = With.wait(With.table().read(Key));
  schema::DrainRow Row;
  Row.set_subject(Line.m_Arguments[0]);
  Row.set_draining(Line.m_Command == "drain");
  Row.set_author(Line.m_Author);
  Row.set_reason(Line.m_Reason);
  const auto Result = With.wait(With.table().transact(
      {{Key, Standing ? Standing->m_Version : 0, Row.SerializeAsString()}}));
  using Kind = store::TableResult::Kind;
  if (Result.m_Kind == Kind::Committed) {
    std::cout << Line.m_Command << " of " << Row.subject() << " accepted\n";
    return ExitFine;
  }
  if (Result.m_Kind == Kind::Conflict) {
    schema::DrainRow Other;
    Other.ParseFromString(Result.m_Conflicts.at(0).m_Value);
    std::cerr << "another operator came first: " << Other.author() << ": "
              << Other.reason() << "\n";
    return ExitConflict;
  }
  throw Error("the table gave no answer; run the command again, it can be "
              "repeated");
}

int explain(const CommandLine &Line, Session &With) {
  if (Line.m_Arguments.size() != 1)
    throw UsageError("explain: allowed: one request");
  for (const std::string &Address : Line.m_Routers) {
    auto Caller = callerOf(With, Address);
    const std::string Text = Caller.explain(Line.m_Arguments[0]);
    const json::object Report = json::parse(Text).as_object();
    if (!Report.at("found").as_bool())
      continue;
    if (Line.m_Json) {
      std::cout << Text;
      return ExitFine;
    }
    std::cout << Report.at("request").as_string().c_str() << " of "
              << Report.at("workspace").as_string().c_str() << " for "
              << Report.at("asked").as_string().c_str() << ": "
              << Report.at("outcome").as_string().c_str() << "\n";
    if (const auto *Events = Report.if_contains("events"))
      for (const json::value &Each : Events->as_array())
        std::cout << "  +" << Each.at("after_ms").to_number<std::int64_t>()
                  << " ms  " << Each.at("what").as_string().c_str() << "\n";
    return ExitFine;
  }
  std::cerr << "no router given knows the request " << Line.m_Arguments[0]
            << "\n";
  return ExitFailed;
}

std::string randomText(std::size_t Bytes) {
  std::string Raw(Bytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Raw.data()),
                 static_cast<int>(Bytes)) != 1)
    throw Error("no random bytes can be had");
  return store::sha256Hex(Raw).substr(0, 2 * Bytes);
}

// Makes a new token for a workspace; only its salted hash goes into the rules.
int token(const CommandLine &Line, Session &) {
  if (Line.m_Arguments.size() != 1)
    throw UsageError("token: allowed: one workspace");
  const std::string Token = Line.m_Arguments[0] + "." + randomText(16);
  const std::string Salt = randomText(8);
  std::cout << "token = \"" << Token << "\"\n"
            << "token_salt = \"" << Salt << "\"\n"
            << "token_sha256 = \"" << store::sha256Hex(Salt + Token) << "\"\n";
  return ExitFine;
}

struct Command {
  const char *m_Help;
  std::function<int(const CommandLine &, Session &)> m_Run;
};

const std::map<std::string, Command> &commands() {
  static const std::map<std::string, Command> All{
      {"check", {"check the declaration's files", check}},
      {"plan", {"show what apply would change", plan}},
      {"apply", {"[GENERATION]  put the declaration in force", apply}},
      {"status", {"show what is in force and what needs a hand", status}},
      {"drain", {"NAME  give an endpoint or host no new work", drain}},
      {"undrain", {"NAME  take a drain back", drain}},
      {"claims", {"list [WORKSPACE] | show ROW | settle ROW", runClaims}},
      {"explain", {"REQUEST  say what happened to a request", explain}},
      {"token", {"WORKSPACE  make a token of access", token}}};
  return All;
}

} // namespace

std::string commandHelp() {
  std::string Text = "commands:\n";
  for (const auto &[Name, Each] : commands())
    Text += "  " + Name + "  " + Each.m_Help + "\n";
  return Text;
}

int runCommand(const CommandLine &Line) {
  const auto Found = commands().find(Line.m_Command);
  if (Found == commands().end())
    throw UsageError("\"" + Line.m_Command + "\" is no command\n" +
                     commandHelp());
  Session With(Line);
  return Found->second.m_Run(Line, With);
}

} // namespace mimosadale::ctl
