// Order statistics of samples.
#ifndef MIMOSADALE_BENCH_STATISTICS_H
#define MIMOSADALE_BENCH_STATISTICS_H

#include <algorithm>
#include <vector>

namespace mimosadale::bench {

/// The sample below which the share \p Part of all lies. \pre Not empty.
inline double quantile(std::vector<double> Samples, double Fraction) {
  std::sort(Samples.begin(), Samples.end());
  const double LastIndex = static_cast<double>(Samples.size() - 1);
  return Samples[static_cast<std::size_t>(Fraction * LastIndex + 0.5)];
}

} // namespace mimosadale::bench

#endif
