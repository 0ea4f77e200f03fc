// CPU time and memory of a process, read from /proc.
#ifndef MIMOSADALE_BENCH_PROCESS_COST_H
#define MIMOSADALE_BENCH_PROCESS_COST_H

#include <sys/types.h>

namespace mimosadale::bench {

struct ProcessCost {
  double m_CpuSeconds = 0; // user and system time since its start
  double m_ResidentMb = 0; // current resident set, in 10^6 bytes
};

/// \throws std::runtime_error when the process does not exist.
ProcessCost readCost(pid_t ProcessId);

} // namespace mimosadale::bench

#endif
