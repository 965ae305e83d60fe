// Replays a day's load in virtual time: clients, the admission queue, the decision module, a simulated fleet.
//
// Four tenants send the three classes of a race-timing site while the load climbs from 0.6 of the fleet
// to 1.4 and falls again; one report in twenty gets a bad plan; two engines are lost. The queue and the
// module are the real ones; only engines and clients are simulated.
#ifndef LEMONCROFT_TESTING_BENCHMARK_WORKLOAD_REPLAY_H_
#define LEMONCROFT_TESTING_BENCHMARK_WORKLOAD_REPLAY_H_

#include <cstdint>
#include <vector>

namespace lemoncroft::benchmark {

struct WorkloadReplayOptions {
  std::uint64_t seed = 1;
  double seconds = 1200;
  bool use_admission_queue = true;  // false: requests go to the module on arrival
};

struct WorkloadReplayResult {
  std::uint64_t requests = 0, served = 0, rejected = 0, failed = 0, rejected_waiting = 0;
  std::uint64_t estimates = 0, within = 0, first_estimates = 0, first_estimates_within = 0;
  std::uint64_t long_waits = 0, long_waits_within = 0;  // estimates of real waits of 200 ms or more
  std::uint64_t past_deadline = 0;                      // requests still waiting then
  std::uint64_t bound_violations =
      0;  // left the queue after the dispatch deadline, or overtaken past the ageing credit
  std::uint64_t retries = 0, retries_served = 0;        // retries after retry_after
  double share_error = 0;                               // greatest, relative to the budget
  double shared_seconds = 0;                            // in which all tenants had work waiting
  double weighted_success = 0;                          // served, relative to that requested
  double longest_wait = 0, wait_p50 = 0, wait_p99 = 0;  // seconds, of requests that started
  std::vector<double> shares;                           // of the work, by tenant, while all waited
};

WorkloadReplayResult ReplayWorkload(const WorkloadReplayOptions& options);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_WORKLOAD_REPLAY_H_
