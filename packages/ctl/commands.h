// The commands of `mimosadalectl`.
#ifndef MIMOSADALE_CTL_COMMANDS_H
#define MIMOSADALE_CTL_COMMANDS_H

#include "base/error.h"

#include <string>
#include <vector>

namespace mimosadale::ctl {

/// Exit statuses that scripts can use.
enum ExitStatus {
  ExitSuccess = 0,
  ExitFailed = 1,    // the platform or a router could not be reached
  ExitBadInput = 2,  // options or files with faults
  ExitConflict = 3,  // another operator came first
  ExitIncomplete = 4 // accepted, but not seen in force everywhere yet
};

/// What the command line gave.
struct CommandLine {
  std::string m_Command;
  std::vector<std::string> m_Arguments;
  std::string m_Platform;
  std::vector<std::string> m_Routers; // operators' addresses
  std::string m_TokenFile;
  std::string m_Declaration;
  std::string m_Author;
  std::string m_Reason;
  std::string m_Outcome;
  bool m_Json = false;
};

/// Bad use of the command line.
class UsageError : public Error {
public:
  using Error::Error;
};

/// Runs the command. \returns an `ExitStatus`. \throws Error.
int runCommand(const CommandLine &Line);

/// One line a command, for `--help`.
std::string commandHelp();

} // namespace mimosadale::ctl

#endif
