// The commands of `mimosadalectl`, their options and exit statuses.
#ifndef MIMOSADALE_CTL_COMMANDS_H
#define MIMOSADALE_CTL_COMMANDS_H

#include "base/error.h"

#include <string>
#include <vector>

namespace mimosadale::ctl {

/// Exit statuses of `mimosadalectl`; scripts rely on the values.
enum ExitStatus {
  ExitSuccess = 0,
  ExitFailed = 1,    // the platform or a router could not be reached
  ExitBadInput = 2,  // invalid options or input files
  ExitConflict = 3,  // another operator's change was committed first
  ExitIncomplete = 4 // accepted, but not confirmed in force on all routers
};

/// The parsed command line.
struct CommandLine {
  std::string m_Command;
  std::vector<std::string> m_Arguments;
  std::string m_Platform;
  std::vector<std::string> m_Routers; // ip:port of the operators' interface
  std::string m_TokenFile;
  std::string m_Declaration;
  std::string m_Author;
  std::string m_Reason;
  std::string m_Outcome;
  bool m_Json = false;
};

/// The command line is not valid.
class UsageError : public Error {
public:
  using Error::Error;
};

/// Runs the command named in \p Line. \returns an `ExitStatus`. \throws Error,
/// and UsageError when options or arguments are missing or not valid.
int runCommand(const CommandLine &Line);

/// The help text: one line per command.
std::string commandHelp();

} // namespace mimosadale::ctl

#endif
