// Entry point of the router: `mimosadale --config node.toml`.
#include "base/error.h"
#include "forward/forward_node.h"
#include "router/log.h"
#include "router/node.h"
#include "router/settings.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <log4cplus/initializer.h>
#include <optional>
#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/lsan_interface.h>
#endif

namespace options = boost::program_options;
using namespace mimosadale;

namespace {

// Exit statuses, which scripts may rely on.
constexpr int ExitSuccess = 0;
constexpr int ExitFailure = 1;
constexpr int ExitUsageError = 2;

schema::NodeSettings loadSettingsOrThrow(const std::string &File) {
  const router::LoadedSettings Loaded = router::loadSettings(File);
  if (!Loaded.m_Faults.empty())
    throw Error(schema::formatDiagnostics(Loaded.m_Faults));
  return Loaded.m_Settings;
}

int runNode(const std::string &File) {
  const log4cplus::Initializer Logging;
  const schema::NodeSettings Settings = loadSettingsOrThrow(File);
  router::configureLog(Settings.log(), Settings.name());
  router::Node Node(Settings, [File] { return loadSettingsOrThrow(File); });
  return Node.run();
}

schema::ForwardSettings loadForwardSettingsOrThrow(const std::string &File) {
  const auto Loaded = router::loadForwardSettings(File);
  if (!Loaded.m_Faults.empty())
    throw Error(schema::formatDiagnostics(Loaded.m_Faults));
  return Loaded.m_Settings;
}

// Exits without joining the idle threads of the log library. On a host that
// schedules only one thread, joining them may outlast the stop timeout, and the
// process would be killed.
[[noreturn]] void exitProcess(int ExitCode) {
  std::cout.flush();
#ifdef __SANITIZE_ADDRESS__
  __lsan_do_leak_check();
#endif
  std::quick_exit(ExitCode);
}

[[noreturn]] void runForwardNode(const std::string &File) {
  const log4cplus::Initializer Logging;
  const schema::ForwardSettings Settings = loadForwardSettingsOrThrow(File);
  router::configureLog(Settings.log(), Settings.name());
  int ExitCode = ExitSuccess;
  {
    forward::ForwardNode Node(
        Settings, [File] { return loadForwardSettingsOrThrow(File); });
    ExitCode = Node.run();
  }
  exitProcess(ExitCode);
}

// Handles --print-config and --check-config, and prints the faults of the
// settings. Returns the exit status, or none if the router should start.
template <typename LoadedType>
std::optional<int> handleQueryOptions(const LoadedType &Loaded,
                                      const options::variables_map &Arguments) {
  std::cerr << schema::formatDiagnostics(Loaded.m_Faults);
  if (!Loaded.m_Faults.empty())
    return ExitUsageError;
  if (Arguments.contains("print-config"))
    std::cout << schema::printToml(Loaded.m_Settings);
  if (Arguments.contains("print-config") || Arguments.contains("check-config"))
    return ExitSuccess;
  return std::nullopt;
}

int run(int Argc, char **Argv) {
  options::options_description Description(
      "mimosadale: routes model pipelines");
  auto AddOption = Description.add_options();
  AddOption("config", options::value<std::string>(),
            "the settings file, in TOML");
  AddOption("forward",
            "run as a forwarding router for the chained engines and plain "
            "services of a platform; --config names its settings");
  AddOption("check-config", "check the settings and exit");
  AddOption("print-config",
            "print the settings in force, without secrets, and exit");
  AddOption("help", "print this and exit");
  options::variables_map Arguments;
  options::store(options::parse_command_line(Argc, Argv, Description),
                 Arguments);
  if (Arguments.contains("help")) {
    std::cout << Description;
    return ExitSuccess;
  }
  if (!Arguments.contains("config"))
    throw options::required_option("--config");
  const std::string File = Arguments["config"].as<std::string>();
  if (Arguments.contains("forward")) {
    const auto ExitCode =
        handleQueryOptions(router::loadForwardSettings(File), Arguments);
    if (ExitCode)
      return *ExitCode;
    runForwardNode(File);
  }
  if (const auto ExitCode =
          handleQueryOptions(router::loadSettings(File), Arguments))
    return *ExitCode;
  return runNode(File);
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    return run(Argc, Argv);
  } catch (const options::error &Failure) {
    std::cerr << "mimosadale: " << Failure.what() << "; see --help\n";
    return ExitUsageError;
  } catch (const std::exception &Failure) {
    std::cerr << "mimosadale: " << Failure.what() << "\n";
    return ExitFailure;
  }
}
