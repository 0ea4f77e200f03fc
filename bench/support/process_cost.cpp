#include "support/process_cost.h"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <unistd.h>

namespace mimosadale::bench {

ProcessCost readCost(pid_t ProcessId) {
  const std::string ProcDirectory = "/proc/" + std::to_string(ProcessId);
  std::ifstream Stat(ProcDirectory + "/stat");
  std::string Text;
  if (!std::getline(Stat, Text))
    throw std::runtime_error("process " + std::to_string(ProcessId) +
                             " does not exist");
  // utime and stime, fields 14 and 15 of proc(5), are in clock ticks. Parsing
  // starts with field 3, after the name in parentheses, which may hold spaces.
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  std::string Skipped;
  for (int I = 3; I < 14; ++I)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  ProcessCost Cost;
  Cost.m_CpuSeconds =
      (User + System) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream Memory(ProcDirectory + "/statm");
  double Total = 0;
  double Resident = 0;
  Memory >> Total >> Resident;
  Cost.m_ResidentMb =
      Resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  return Cost;
}

} // namespace mimosadale::bench
