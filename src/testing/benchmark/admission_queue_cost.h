// Measures the time and the heap memory that the admission queue needs per request at a constant queue
// length.
#ifndef LEMONCROFT_TESTING_BENCHMARK_ADMISSION_QUEUE_COST_H_
#define LEMONCROFT_TESTING_BENCHMARK_ADMISSION_QUEUE_COST_H_

#include <cstddef>
#include <cstdint>

namespace lemoncroft::benchmark {

struct AdmissionQueueCost {
  double us_per_request = 0;  // from submission to completion, including all estimates and reviews
  double bytes_per_request = 0;
};

// Measures with `queue_length` waiting requests. If `wants_updates` is true, every request subscribes to
// updates of its estimate.
AdmissionQueueCost MeasureAdmissionQueueCost(std::size_t queue_length, bool wants_updates,
                                             std::uint64_t seed);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_ADMISSION_QUEUE_COST_H_
