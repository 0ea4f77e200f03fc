// Order statistics of samples.
#ifndef MIMOSADALE_BENCH_FIGURES_H
#define MIMOSADALE_BENCH_FIGURES_H

#include <algorithm>
#include <vector>

namespace mimosadale::bench {

/// The sample below which the share \p Part of all lies. \pre Not empty.
inline double quantile(std::vector<double> Samples, double Part) {
  std::sort(Samples.begin(), Samples.end());
  const double Last = static_cast<double>(Samples.size() - 1);
  return Samples[static_cast<std::size_t>(Part * Last + 0.5)];
}

} // namespace mimosadale::bench

#endif
