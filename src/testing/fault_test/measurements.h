// What a trial measures, beyond the checks: the cost of processes, latency of configuration changes, and
// how much a partitioned side still serves.
//
// Filled in by the TrialRunner, read by RunAttempt (trial_series.cpp).
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
  // Of each process that runs at the end: part of a core since its start; 99th percentile of a turn of the
  // membership view.
  std::vector<double> cpu_percent, turn_us;
  std::vector<double> change_ms;  // of each change: from its proposal to its activation by all
  std::vector<double> gap_ms;     // of each killed process: from its end to the
                                  // next committed change
  // Of each partition: served part of the requests to the side with the most voters.
  std::vector<double> cut_shares;
  double files_contradiction_ms = 0;  // see ConfigFileRollout::MaxContradictionMs
};

// Appends cpu_percent and turn_us of the processes that run now.
void MeasureProcesses(const ProxyProcesses& processes, const TrialEnvironment& environment,
                      Measurements& measurements);
// Appends gap_ms and, where the trial asks for it, change_ms.
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

  // Ends the partition before, if any.
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
