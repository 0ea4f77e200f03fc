// Entry point of `mimosadalectl`, the operators' command line.
#include "ctl/commands.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace options = boost::program_options;
using namespace mimosadale;

namespace {

options::options_description describeOptions() {
  options::options_description Options("mimosadalectl COMMAND [options]");
  auto AddOption = Options.add_options();
  AddOption("platform", options::value<std::string>(), "the platform, ip:port");
  AddOption("router", options::value<std::vector<std::string>>(),
            "a router's operators' address, ip:port; may be given often");
  AddOption("token-file", options::value<std::string>(),
            "the operators' token");
  AddOption("declaration,d", options::value<std::string>(), "the rules, TOML");
  AddOption("author", options::value<std::string>(), "who makes the change");
  AddOption("reason", options::value<std::string>(), "why");
  AddOption("outcome", options::value<std::string>(),
            "for settle: ran or not-run");
  AddOption("json", "print JSON");
  AddOption("help", "print this and exit");
  AddOption("command", options::value<std::vector<std::string>>(), "");
  return Options;
}

std::string optionText(const options::variables_map &Values, const char *Name) {
  return Values.contains(Name) ? Values[Name].as<std::string>() : "";
}

ctl::CommandLine parse(const options::variables_map &Values) {
  ctl::CommandLine Line;
  const auto Arguments = Values["command"].as<std::vector<std::string>>();
  Line.m_Command = Arguments.front();
  Line.m_Arguments.assign(Arguments.begin() + 1, Arguments.end());
  Line.m_Platform = optionText(Values, "platform");
  if (Values.contains("router"))
    Line.m_Routers = Values["router"].as<std::vector<std::string>>();
  Line.m_TokenFile = optionText(Values, "token-file");
  Line.m_Declaration = optionText(Values, "declaration");
  Line.m_Author = optionText(Values, "author");
  Line.m_Reason = optionText(Values, "reason");
  Line.m_Outcome = optionText(Values, "outcome");
  Line.m_Json = Values.contains("json");
  return Line;
}

int run(int Argc, char **Argv) {
  const auto Options = describeOptions();
  options::positional_options_description Positional;
  Positional.add("command", -1);
  options::variables_map Values;
  options::store(options::command_line_parser(Argc, Argv)
                     .options(Options)
                     .positional(Positional)
                     .run(),
                 Values);
  if (Values.contains("help") || !Values.contains("command")) {
    std::cout << Options << ctl::commandHelp();
    return Values.contains("help") ? ctl::ExitSuccess : ctl::ExitBadInput;
  }
  return ctl::runCommand(parse(Values));
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    return run(Argc, Argv);
  } catch (const options::error &Failure) {
    std::cerr << "mimosadalectl: " << Failure.what() << "; see --help\n";
    return ctl::ExitBadInput;
  } catch (const ctl::UsageError &Failure) {
    std::cerr << "mimosadalectl: " << Failure.what() << "\n";
    return ctl::ExitBadInput;
  } catch (const std::exception &Failure) {
    std::cerr << "mimosadalectl: " << Failure.what() << "\n";
    return ctl::ExitFailed;
  }
}
