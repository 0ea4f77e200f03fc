// What a process has used, from the kernel's own accounts.
#ifndef MIMOSADALE_BENCH_PROCESS_COST_H
#define MIMOSADALE_BENCH_PROCESS_COST_H

#include <sys/types.h>

namespace mimosadale::bench {

struct ProcessCost {
  double m_CpuSeconds = 0; // user and system, since the start
  double m_ResidentMb = 0; // now
};

/// Reads the accounts of a process. \throws std::runtime_error when it is gone.
ProcessCost readCost(pid_t ProcessId);

} // namespace mimosadale::bench

#endif
