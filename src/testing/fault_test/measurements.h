// Measurements of a trial, in addition to its checks: the cost of processes, the latency of configuration
// changes, and the share of requests that one side of a partition still serves.
//
// The TrialRunner fills them in; RunAttempt (trial_series.cpp) reads them.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_MEASUREMENTS_H_
#define LEMONCROFT_TESTING_FAULT_TEST_MEASUREMENTS_H_

#include <string>
#include <vector>

#include "testing/fault_test/client_load.h"
#include "testing/fault_test/history.h"
#include "testing/fault_test/lease_history.h"
#include "testing/fault_test/proxy_processes.h"
#include "testing/fault_test/script.h"
#include "testing/fault_test/trial_environment.h"

namespace lemoncroft::fault_test {

struct Measurements {
  // Of each process that runs at the end: CPU usage since its start, in percent of a core; 99th percentile
  // of the duration of a turn of the membership view.
  std::vector<double> cpu_percent, turn_us;
  std::vector<double> change_ms;  // of each change: from its proposal to its activation by all
  std::vector<double> gap_ms;     // of each killed process: from its end to the next committed change
  // Of each partition: the served share of the requests to the side with the most voters.
  std::vector<double> cut_shares;
  double files_contradiction_ms = 0;  // see ConfigFileRollout::MaxContradictionMs
};

// Appends cpu_percent and turn_us of the processes that are running.
void MeasureProcesses(const ProxyProcesses& processes, const TrialEnvironment& environment,
                      Measurements& measurements);
// Appends gap_ms and, if Trial::measure_each_change is set, change_ms.
void MeasureChanges(const Trial& trial, const History& history, const LeaseHistory& leases,
                    Measurements& measurements);

// Measures cut_shares.
class PartitionAvailability {
 public:
  using ProxyNames = std::vector<std::string>;

  // The references must outlive this.
  PartitionAvailability(const Trial& trial, const TrialEnvironment& environment, const ClientLoad& load,
                        Measurements& measurements)
      : trial_(trial), environment_(environment), load_(load), measurements_(measurements) {}

  // Starts the measurement of a partition into `groups`. Ends that of the previous partition, if any.
  void Begin(const std::vector<ProxyNames>& groups);
  void End();

 private:
  std::size_t VotersAmong(const ProxyNames& names) const;

  const Trial& trial_;
  const TrialEnvironment& environment_;
  const ClientLoad& load_;
  Measurements& measurements_;
  std::vector<std::size_t> majority_side_;  // machines; empty: there is no partition
  RequestCounts counts_before_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_MEASUREMENTS_H_
