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

// How long `apply` waits for all routers to report the new generation, and how
// often it polls them.
constexpr auto InForceTimeout = std::chrono::seconds(5);
constexpr auto InForcePollInterval = std::chrono::milliseconds(50);

rpc::OperatorCaller makeOperatorCaller(Session &Clients,
                                       const std::string &Address) {
  return rpc::OperatorCaller([&Clients, Address](const std::string &Body) {
    return Clients.callRouter(Address, Body);
  });
}

LoadedDeclaration loadRequiredDeclaration(const CommandLine &Line) {
  if (Line.m_Declaration.empty())
    throw UsageError("--declaration is needed for " + Line.m_Command);
  return loadDeclaration(Line.m_Declaration);
}

int check(const CommandLine &Line, Session &) {
  const LoadedDeclaration Loaded = loadRequiredDeclaration(Line);
  std::cerr << schema::formatDiagnostics(Loaded.m_Faults);
  if (!Loaded.m_Faults.empty())
    return ExitBadInput;
  std::cout << Loaded.m_Declaration.endpoints_size() << " endpoints, "
            << Loaded.m_Declaration.services_size() << " services, "
            << Loaded.m_Declaration.models_size() << " models, "
            << Loaded.m_Declaration.workspaces_size() << " workspaces\n";
  return ExitSuccess;
}

// The generation in force and its declaration; both empty if there is none.
struct CurrentConfig {
  store::StoredGeneration m_Generation;
  schema::Declaration m_Declaration;
};

CurrentConfig readCurrentConfig(Session &Clients) {
  CurrentConfig Config;
  if (const auto Generation = Clients.wait(Clients.config().current())) {
    Config.m_Generation = *Generation;
    Config.m_Declaration =
        Clients.wait(Clients.config().load(Generation->m_Row));
  }
  return Config;
}

int plan(const CommandLine &Line, Session &Clients) {
  const LoadedDeclaration Loaded = loadRequiredDeclaration(Line);
  std::cerr << schema::formatDiagnostics(Loaded.m_Faults);
  if (!Loaded.m_Faults.empty())
    return ExitBadInput;
  const CurrentConfig Config = readCurrentConfig(Clients);
  std::cout << "against generation " << Config.m_Generation.m_Row.generation()
            << ":\n";
  const std::string Difference =
      describeDifference(Config.m_Declaration, Loaded.m_Declaration);
  std::cout << (Difference.empty() ? "nothing changes\n" : Difference);
  return ExitSuccess;
}

json::object fetchRouterStatus(Session &Clients, const std::string &Address,
                               bool Detail) {
  auto Caller = makeOperatorCaller(Clients, Address);
  return json::parse(Caller.status(Detail)).as_object();
}

std::uint64_t generationIn(const json::object &Status) {
  const auto *Generation = Status.if_contains("generation");
  return Generation ? Generation->to_number<std::uint64_t>() : 0;
}

// Maps router names to operators' addresses: the routers given and the peers
// that they report, without dead ones. A router that does not answer is listed
// under its address, so that it is reported as lagging.
std::map<std::string, std::string> discoverRouters(const CommandLine &Line,
                                                   Session &Clients) {
  std::map<std::string, std::string> Addresses;
  for (const std::string &Address : Line.m_Routers) {
    try {
      const json::object Status = fetchRouterStatus(Clients, Address, false);
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

// Maps each router that has not reported the generation, or a later one, to its
// reported generation or the error.
std::map<std::string, std::string>
findLaggingRouters(Session &Clients,
                   const std::map<std::string, std::string> &Routers,
                   std::uint64_t Generation) {
  std::map<std::string, std::string> LaggingRouters;
  for (const auto &[Name, Address] : Routers) {
    try {
      const std::uint64_t ReportedGeneration =
          generationIn(fetchRouterStatus(Clients, Address, false));
      if (ReportedGeneration < Generation)
        LaggingRouters[Name] =
            "has generation " + std::to_string(ReportedGeneration);
    } catch (const std::exception &Failure) {
      LaggingRouters[Name] =
          std::string("cannot be reached: ") + Failure.what();
    }
  }
  return LaggingRouters;
}

int waitUntilInForce(const CommandLine &Line, Session &Clients,
                     std::uint64_t Generation) {
  if (Line.m_Routers.empty())
    return ExitSuccess;
  const auto Start = std::chrono::steady_clock::now();
  const auto Routers = discoverRouters(Line, Clients);
  auto LaggingRouters = findLaggingRouters(Clients, Routers, Generation);
  while (!LaggingRouters.empty() &&
         std::chrono::steady_clock::now() - Start < InForceTimeout) {
    std::this_thread::sleep_for(InForcePollInterval);
    LaggingRouters = findLaggingRouters(Clients, Routers, Generation);
  }
  const auto Elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - Start);
  for (const auto &[Name, State] : LaggingRouters)
    std::cout << "not in force yet on " << Name << ": " << State << "\n";
  if (!LaggingRouters.empty())
    return ExitIncomplete;
  std::cout << "in force on all " << Routers.size() << " routers seen, after "
            << Elapsed.count() << " ms\n";
  return ExitSuccess;
}

int apply(const CommandLine &Line, Session &Clients) {
  if (Line.m_Author.empty() || Line.m_Reason.empty())
    throw UsageError("apply: --author and --reason are needed");
  const LoadedDeclaration Loaded = loadRequiredDeclaration(Line);
  std::cerr << schema::formatDiagnostics(Loaded.m_Faults);
  if (!Loaded.m_Faults.empty())
    return ExitBadInput;
  const CurrentConfig Config = readCurrentConfig(Clients);
  if (!Line.m_Arguments.empty() &&
      Line.m_Arguments[0] !=
          std::to_string(Config.m_Generation.m_Row.generation())) {
    std::cerr << "generation " << Config.m_Generation.m_Row.generation()
              << " is in force, by " << Config.m_Generation.m_Row.author()
              << ": " << Config.m_Generation.m_Row.reason() << "; plan again\n";
    return ExitConflict;
  }
  const auto AcceptedGeneration = Clients.wait(Clients.config().apply(
      Loaded.m_Declaration, Config.m_Generation, Line.m_Author, Line.m_Reason));
  const auto Sections = store::splitSections(Loaded.m_Declaration);
  bool IsOwn = AcceptedGeneration.m_Row.author() == Line.m_Author &&
               AcceptedGeneration.m_Row.reason() == Line.m_Reason &&
               AcceptedGeneration.m_Row.generation() ==
                   Config.m_Generation.m_Row.generation() + 1;
  for (std::size_t I = 0; IsOwn && I < Sections.size(); ++I)
    IsOwn = store::sha256Hex(Sections[I]) ==
            AcceptedGeneration.m_Row.sections(static_cast<int>(I));
  if (!IsOwn) {
    std::cerr << "another operator came first: generation "
              << AcceptedGeneration.m_Row.generation() << " by "
              << AcceptedGeneration.m_Row.author() << ": "
              << AcceptedGeneration.m_Row.reason() << "\n"
              << describeDifference(Config.m_Declaration,
                                    Clients.wait(Clients.config().load(
                                        AcceptedGeneration.m_Row)));
    return ExitConflict;
  }
  std::cout << "accepted as generation "
            << AcceptedGeneration.m_Row.generation() << "\n";
  return waitUntilInForce(Line, Clients, AcceptedGeneration.m_Row.generation());
}

// Prints a short status of one router: the generation in force with its author
// and reason, the load, and the states of endpoints and peers.
void printStatus(const json::object &Status) {
  const auto fieldText = [&](const char *Field) -> std::string {
    const auto *Value = Status.if_contains(Field);
    return !Value ? "-"
                  : (Value->is_string() ? std::string(Value->as_string())
                                        : json::serialize(*Value));
  };
  std::cout << fieldText("name") << " in " << fieldText("data_centre")
            << ": generation " << fieldText("generation") << " by "
            << fieldText("author") << " (" << fieldText("reason") << ")\n  "
            << fieldText("requests_in_progress") << " requests, "
            << fieldText("requests_queued") << " queued, "
            << fieldText("claims_in_progress") << " claims in progress, "
            << fieldText("endpoints_usable") << " endpoints usable\n";
  for (const json::value &Endpoint : Status.at("endpoints").as_array()) {
    const json::object &Entry = Endpoint.as_object();
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
              << generationIn(Entry) << "\n";
  }
}

int status(const CommandLine &Line, Session &Clients) {
  if (Line.m_Routers.empty())
    throw UsageError("status: --router is needed");
  int Exit = ExitSuccess;
  for (const std::string &Address : Line.m_Routers) {
    try {
      const json::object Status = fetchRouterStatus(Clients, Address, false);
      if (Line.m_Json)
        std::cout << json::serialize(Status) << "\n";
      else
        printStatus(Status);
    } catch (const std::exception &Failure) {
      std::cerr << "router " << Address << ": " << Failure.what() << "\n";
      Exit = ExitFailed;
    }
  }
  return Exit;
}

// Sets or removes a drain. The write is conditional on the version read, so
// that a concurrent change by another operator is reported and not overwritten.
int drain(const CommandLine &Line, Session &Clients) {
  if (Line.m_Arguments.size() != 1)
    throw UsageError(Line.m_Command + ": allowed: one endpoint or host");
  if (Line.m_Author.empty() || Line.m_Reason.empty())
    throw UsageError(Line.m_Command + ": --author and --reason are needed");
  const std::string Key = store::DrainPrefix + Line.m_Arguments[0];
  const auto StoredRow = Clients.wait(Clients.table().read(Key));
  schema::DrainRow Row;
  Row.set_subject(Line.m_Arguments[0]);
  Row.set_draining(Line.m_Command == "drain");
  Row.set_author(Line.m_Author);
  Row.set_reason(Line.m_Reason);
  const auto Result = Clients.wait(Clients.table().transact(
      {{Key, StoredRow ? StoredRow->m_Version : 0, Row.SerializeAsString()}}));
  using Kind = store::TableResult::Kind;
  if (Result.m_Kind == Kind::Committed) {
    std::cout << Line.m_Command << " of " << Row.subject() << " accepted\n";
    return ExitSuccess;
  }
  if (Result.m_Kind == Kind::Conflict) {
    schema::DrainRow OtherDrain;
    OtherDrain.ParseFromString(Result.m_Conflicts.at(0).m_Value);
    std::cerr << "another operator came first: " << OtherDrain.author() << ": "
              << OtherDrain.reason() << "\n";
    return ExitConflict;
  }
  throw Error("the table gave no answer; run the command again, it can be "
              "repeated");
}

int explain(const CommandLine &Line, Session &Clients) {
  if (Line.m_Arguments.size() != 1)
    throw UsageError("explain: allowed: one request");
  for (const std::string &Address : Line.m_Routers) {
    auto Caller = makeOperatorCaller(Clients, Address);
    const std::string Text = Caller.explain(Line.m_Arguments[0]);
    const json::object Report = json::parse(Text).as_object();
    if (!Report.at("found").as_bool())
      continue;
    if (Line.m_Json) {
      std::cout << Text;
      return ExitSuccess;
    }
    std::cout << Report.at("request").as_string().c_str() << " of "
              << Report.at("workspace").as_string().c_str() << " for "
              << Report.at("asked").as_string().c_str() << ": "
              << Report.at("outcome").as_string().c_str() << "\n";
    if (const auto *Events = Report.if_contains("events"))
      for (const json::value &Event : Events->as_array())
        std::cout << "  +" << Event.at("after_ms").to_number<std::int64_t>()
                  << " ms  " << Event.at("what").as_string().c_str() << "\n";
    return ExitSuccess;
  }
  std::cerr << "no router given knows the request " << Line.m_Arguments[0]
            << "\n";
  return ExitFailed;
}

std::string randomHex(std::size_t Bytes) {
  std::string Raw(Bytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Raw.data()),
                 static_cast<int>(Bytes)) != 1)
    throw Error("no random bytes can be had");
  return store::sha256Hex(Raw).substr(0, 2 * Bytes);
}

// Generates an access token for a workspace. The declaration holds only its
// salted hash.
int token(const CommandLine &Line, Session &) {
  if (Line.m_Arguments.size() != 1)
    throw UsageError("token: allowed: one workspace");
  const std::string Token = Line.m_Arguments[0] + "." + randomHex(16);
  const std::string Salt = randomHex(8);
  std::cout << "token = \"" << Token << "\"\n"
            << "token_salt = \"" << Salt << "\"\n"
            << "token_sha256 = \"" << store::sha256Hex(Salt + Token) << "\"\n";
  return ExitSuccess;
}

struct Command {
  const char *m_Help;
  std::function<int(const CommandLine &, Session &)> m_Run;
};

const std::map<std::string, Command> &commands() {
  static const std::map<std::string, Command> Commands{
      {"check", {"check the declaration's files", check}},
      {"plan", {"show what apply would change", plan}},
      {"apply", {"[GENERATION]  put the declaration in force", apply}},
      {"status", {"show what is in force and what needs a hand", status}},
      {"drain", {"NAME  give an endpoint or host no new work", drain}},
      {"undrain", {"NAME  take a drain back", drain}},
      {"claims", {"list [WORKSPACE] | show ROW | settle ROW", runClaims}},
      {"explain", {"REQUEST  say what happened to a request", explain}},
      {"token", {"WORKSPACE  make a token of access", token}}};
  return Commands;
}

} // namespace

std::string commandHelp() {
  std::string Text = "commands:\n";
  for (const auto &[Name, Entry] : commands())
    Text += "  " + Name + "  " + Entry.m_Help + "\n";
  return Text;
}

int runCommand(const CommandLine &Line) {
  const auto Found = commands().find(Line.m_Command);
  if (Found == commands().end())
    throw UsageError("\"" + Line.m_Command + "\" is no command\n" +
                     commandHelp());
  Session Clients(Line);
  return Found->second.m_Run(Line, Clients);
}

} // namespace mimosadale::ctl
