// What the waiting line costs a request while many wait: time of this machine's, bytes of the heap.
#ifndef LEMONCROFT_MEASURE_LINE_COST_H_
#define LEMONCROFT_MEASURE_LINE_COST_H_

#include <cstddef>
#include <cstdint>

namespace lemoncroft::benchmark {

struct LineCost {
  double us_per_request = 0;  // from being taken to its end, every look and estimate between included
  double bytes_per_request = 0;
};

// `watched`: every client wants to be told of changes of its estimate.
LineCost CostOfLine(std::size_t waiting, bool watched, std::uint64_t seed);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_MEASURE_LINE_COST_H_
