// The router: `mimosadale --config node.toml`.
#include "base/error.h"
#include "router/log.h"
#include "router/node.h"
#include "router/settings.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <log4cplus/initializer.h>

namespace options = boost::program_options;
using namespace mimosadale;

namespace {

// Exit statuses that scripts can use.
constexpr int ExitFine = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadInput = 2;

schema::NodeSettings loadOrThrow(const std::string &File) {
  const router::LoadedSettings Loaded = router::loadSettings(File);
  if (!Loaded.m_Faults.empty())
    throw Error(schema::describeFaults(Loaded.m_Faults));
  return Loaded.m_Settings;
}

int runNode(const std::string &File) {
  const log4cplus::Initializer Logging;
  const schema::NodeSettings Settings = loadOrThrow(File);
  router::setUpLog(Settings.log(), Settings.name());
  router::Node Node(Settings, [File] { return loadOrThrow(File); });
  return Node.run();
}

int run(int Argc, char **Argv) {
  options::options_description Known("mimosadale: routes model pipelines");
  auto Add = Known.add_options();
  Add("config", options::value<std::string>(), "the settings, a TOML file");
  Add("check-config", "check the settings and exit");
  Add("print-config", "print the settings in force, without secrets, and exit");
  Add("help", "print this and exit");
  options::variables_map Given;
  options::store(options::parse_command_line(Argc, Argv, Known), Given);
  if (Given.contains("help")) {
    std::cout << Known;
    return ExitFine;
  }
  if (!Given.contains("config"))
    throw options::required_option("--config");
  const std::string File = Given["config"].as<std::string>();
  const router::LoadedSettings Loaded = router::loadSettings(File);
  std::cerr << schema::describeFaults(Loaded.m_Faults);
  if (!Loaded.m_Faults.empty())
    return ExitBadInput;
  if (Given.contains("print-config"))
    std::cout << schema::printToml(Loaded.m_Settings);
  if (Given.contains("print-config") || Given.contains("check-config"))
    return ExitFine;
  return runNode(File);
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    return run(Argc, Argv);
  } catch (const options::error &Wrong) {
    std::cerr << "mimosadale: " << Wrong.what() << "; see --help\n";
    return ExitBadInput;
  } catch (const std::exception &Wrong) {
    std::cerr << "mimosadale: " << Wrong.what() << "\n";
    return ExitFailed;
  }
}
