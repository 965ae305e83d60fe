// Measures the time and heap that the admission queue takes per request at a constant queue length.
#ifndef LEMONCROFT_TESTING_BENCHMARK_ADMISSION_QUEUE_COST_H_
#define LEMONCROFT_TESTING_BENCHMARK_ADMISSION_QUEUE_COST_H_

#include <cstddef>
#include <cstdint>

namespace lemoncroft::benchmark {

struct AdmissionQueueCost {
  double us_per_request = 0;  // from submission to completion, with all estimates and reviews
  double bytes_per_request = 0;
};

// `waiting`: queue length. `watched`: every request asks for updates of its estimate.
AdmissionQueueCost MeasureAdmissionQueueCost(std::size_t waiting, bool watched, std::uint64_t seed);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_ADMISSION_QUEUE_COST_H_
