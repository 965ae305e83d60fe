// Measures the processor time of the calling thread.
#ifndef LEMONCROFT_TESTING_SIMULATION_PROCESSOR_TIME_H_
#define LEMONCROFT_TESTING_SIMULATION_PROCESSOR_TIME_H_

#include <ctime>

namespace lemoncroft::simulation {

inline double ProcessorMicroseconds() {
  timespec at{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
  return static_cast<double>(at.tv_sec) * 1e6 + static_cast<double>(at.tv_nsec) / 1e3;
}

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_PROCESSOR_TIME_H_
