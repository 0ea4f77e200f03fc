// The operators' command: `mimosadalectl COMMAND [options]`.
#include "ctl/commands.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace options = boost::program_options;
using namespace mimosadale;

namespace {

options::options_description describeOptions() {
  options::options_description Known("mimosadalectl COMMAND [options]");
  auto Add = Known.add_options();
  Add("platform", options::value<std::string>(), "the platform, ip:port");
  Add("router", options::value<std::vector<std::string>>(),
      "a router's operators' address, ip:port; may be given often");
  Add("token-file", options::value<std::string>(), "the operators' token");
  Add("declaration,d", options::value<std::string>(), "the rules, TOML");
  Add("author", options::value<std::string>(), "who makes the change");
  Add("reason", options::value<std::string>(), "why");
  Add("outcome", options::value<std::string>(), "for settle: ran or not-run");
  Add("json", "print JSON");
  Add("help", "print this and exit");
  Add("command", options::value<std::vector<std::string>>(), "");
  return Known;
}

std::string textOf(const options::variables_map &Given, const char *Name) {
  return Given.contains(Name) ? Given[Name].as<std::string>() : "";
}

ctl::CommandLine parse(const options::variables_map &Given) {
  ctl::CommandLine Line;
  const auto Words = Given["command"].as<std::vector<std::string>>();
  Line.m_Command = Words.front();
  Line.m_Arguments.assign(Words.begin() + 1, Words.end());
  Line.m_Platform = textOf(Given, "platform");
  if (Given.contains("router"))
    Line.m_Routers = Given["router"].as<std::vector<std::string>>();
  Line.m_TokenFile = textOf(Given, "token-file");
  Line.m_Declaration = textOf(Given, "declaration");
  Line.m_Author = textOf(Given, "author");
  Line.m_Reason = textOf(Given, "reason");
  Line.m_Outcome = textOf(Given, "outcome");
  Line.m_Json = Given.contains("json");
  return Line;
}

int run(int Argc, char **Argv) {
  const auto Known = describeOptions();
  options::positional_options_description Words;
  Words.add("command", -1);
  options::variables_map Given;
  options::store(options::command_line_parser(Argc, Argv)
                     .options(Known)
                     .positional(Words)
                     .run(),
                 Given);
  if (Given.contains("help") || !Given.contains("command")) {
    std::cout << Known << ctl::commandHelp();
    return Given.contains("help") ? ctl::ExitFine : ctl::ExitBadInput;
  }
  return ctl::runCommand(parse(Given));
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    return run(Argc, Argv);
  } catch (const options::error &Wrong) {
    std::cerr << "mimosadalectl: " << Wrong.what() << "; see --help\n";
    return ctl::ExitBadInput;
  } catch (const ctl::UsageError &Wrong) {
    std::cerr << "mimosadalectl: " << Wrong.what() << "\n";
    return ctl::ExitBadInput;
  } catch (const std::exception &Wrong) {
    std::cerr << "mimosadalectl: " << Wrong.what() << "\n";
    return ctl::ExitFailed;
  }
}
