// What the waiting line costs a request while many wait: time of this machine's, bytes of the heap.
#ifndef LEMONCROFT_TESTING_BENCHMARK_ADMISSION_QUEUE_COST_H_
#define LEMONCROFT_TESTING_BENCHMARK_ADMISSION_QUEUE_COST_H_

#include <cstddef>
#include <cstdint>

namespace lemoncroft::benchmark {

struct AdmissionQueueCost {
  double us_per_request = 0;  // from being taken to its end, every look and estimate between included
  double bytes_per_request = 0;
};

// `watched`: every client wants to be told of changes of its estimate.
AdmissionQueueCost MeasureAdmissionQueueCost(std::size_t waiting, bool watched, std::uint64_t seed);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_ADMISSION_QUEUE_COST_H_
