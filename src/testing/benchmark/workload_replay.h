// Replays the load of one day in virtual time, with clients, the admission queue, the decision module and a
// fleet of engines.
//
// Four tenants send requests of the three classes of a race-timing site. The offered load rises from 0.6 to
// 1.4 of the fleet's capacity and falls again, one report in twenty gets a bad query plan, and two engines
// are lost. The admission queue and the decision module are the production code; only engines and clients are
// simulated.
#ifndef LEMONCROFT_TESTING_BENCHMARK_WORKLOAD_REPLAY_H_
#define LEMONCROFT_TESTING_BENCHMARK_WORKLOAD_REPLAY_H_

#include <cstdint>
#include <vector>

namespace lemoncroft::benchmark {

struct WorkloadReplayOptions {
  std::uint64_t seed = 1;
  double seconds = 1200;
  bool use_admission_queue = true;  // false: requests go to the decision module on arrival
};

struct WorkloadReplayResult {
  std::uint64_t requests = 0, served = 0, rejected = 0, failed = 0, rejected_waiting = 0;
  std::uint64_t estimates = 0, accurate_estimates = 0, first_estimates = 0, accurate_first_estimates = 0;
  // Estimates whose actual wait was 200 ms or more, and those of them that were accurate.
  std::uint64_t long_wait_estimates = 0, accurate_long_wait_estimates = 0;
  std::uint64_t past_deadline = 0;  // requests that waited beyond their deadline
  // Requests that left the queue after the dispatch deadline, or were overtaken past the ageing credit.
  std::uint64_t bound_violations = 0;
  std::uint64_t retries = 0, retries_served = 0;  // sent after the retry-after time
  double share_error = 0;                         // maximum over the tenants, relative to the budget share
  double shared_seconds = 0;                      // time during which all tenants had requests waiting
  double weighted_success = 0;                    // served priority weight relative to the requested weight
  double longest_wait = 0, wait_p50 = 0, wait_p99 = 0;  // seconds, of requests that were started
  std::vector<double> shares;  // of the work, by tenant, while all tenants had requests waiting
};

WorkloadReplayResult ReplayWorkload(const WorkloadReplayOptions& options);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_WORKLOAD_REPLAY_H_
