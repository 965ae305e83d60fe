// Percentiles of measured values.
#ifndef LEMONCROFT_TESTING_BENCHMARK_PERCENTILE_H_
#define LEMONCROFT_TESTING_BENCHMARK_PERCENTILE_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace lemoncroft::benchmark {

// Returns the value at `fraction` (0 to 1) of the sorted values, without interpolation; 0 if `values` is
// empty.
inline double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_PERCENTILE_H_
