// The router: `mimosadale --config node.toml`.
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

// Exit statuses that scripts can use.
constexpr int ExitFine = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadInput = 2;

schema::NodeSettings loadOrThrow(const std::string &File) {
  const router::LoadedSettings Loaded = router::loadSettings(File);
  if (!Loaded.m_Faults.empty())
    throw Error(schema::formatDiagnostics(Loaded.m_Faults));
  return Loaded.m_Settings;
}

int runNode(const std::string &File) {
  const log4cplus::Initializer Logging;
  const schema::NodeSettings Settings = loadOrThrow(File);
  router::setUpLog(Settings.log(), Settings.name());
  router::Node Node(Settings, [File] { return loadOrThrow(File); });
  return Node.run();
}

schema::ForwardSettings loadForwardOrThrow(const std::string &File) {
  const auto Loaded = router::loadForwardSettings(File);
  if (!Loaded.m_Faults.empty())
    throw Error(schema::formatDiagnostics(Loaded.m_Faults));
  return Loaded.m_Settings;
}

// Ends the process without joining the idle threads that the log library keeps:
// where a host schedules only one thread, their end may come after the time to
// stop, and the process is killed.
[[noreturn]] void leave(int Code) {
  std::cout.flush();
#ifdef __SANITIZE_ADDRESS__
  __lsan_do_leak_check();
#endif
  std::quick_exit(Code);
}

[[noreturn]] void runForwardNode(const std::string &File) {
  const log4cplus::Initializer Logging;
  const schema::ForwardSettings Settings = loadForwardOrThrow(File);
  router::setUpLog(Settings.log(), Settings.name());
  int Code = ExitFine;
  {
    forward::ForwardNode Node(Settings,
                              [File] { return loadForwardOrThrow(File); });
    Code = Node.run();
  }
  leave(Code);
}

// Shows the settings of \p Loaded or their faults; none when the node is to
// run.
template <typename Loaded>
std::optional<int> answerQuestions(const Loaded &From,
                                   const options::variables_map &Given) {
  std::cerr << schema::formatDiagnostics(From.m_Faults);
  if (!From.m_Faults.empty())
    return ExitBadInput;
  if (Given.contains("print-config"))
    std::cout << schema::printToml(From.m_Settings);
  if (Given.contains("print-config") || Given.contains("check-config"))
    return ExitFine;
  return std::nullopt;
}

int run(int Argc, char **Argv) {
  options::options_description Known("mimosadale: routes model pipelines");
  auto Add = Known.add_options();
  Add("config", options::value<std::string>(), "the settings, a TOML file");
  Add("forward", "forward to chained engines and plain services of a platform; "
                 "the file holds such a router's settings");
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
  if (Given.contains("forward")) {
    const auto Answer =
        answerQuestions(router::loadForwardSettings(File), Given);
    if (Answer)
      return *Answer;
    runForwardNode(File);
  }
  if (const auto Answer = answerQuestions(router::loadSettings(File), Given))
    return *Answer;
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
