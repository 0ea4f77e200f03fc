// Order statistics of samples.
#ifndef MIMOSADALE_BENCH_STATISTICS_H
#define MIMOSADALE_BENCH_STATISTICS_H

#include <algorithm>
#include <vector>

namespace mimosadale::bench {

/// The \p Fraction quantile by nearest rank. \pre \p Samples is not empty and
/// \p Fraction is within 0 to 1.
inline double quantile(std::vector<double> Samples, double Fraction) {
  std::sort(Samples.begin(), Samples.end());
  const double LastIndex = static_cast<double>(Samples.size() - 1);
  return Samples[static_cast<std::size_t>(Fraction * LastIndex + 0.5)];
}

} // namespace mimosadale::bench

#endif
