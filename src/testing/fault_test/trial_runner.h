// Runs one trial: starts real proxies on loopback behind the relay, executes the script, and checks the
// history.
//
// Owned by RunAttempt (trial_series.cpp); one instance runs one trial. Ends only processes that it
// started, by their ids, and leaves none running. Records how late its own loop runs: a trial that the
// machine delayed is void. Throws std::runtime_error or std::system_error if ports or addresses are
// unavailable or processes cannot be started.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_TRIAL_RUNNER_H_
#define LEMONCROFT_TESTING_FAULT_TEST_TRIAL_RUNNER_H_

#include <string>
#include <vector>

#include "runtime/loop.h"
#include "testing/fault_test/client_load.h"
#include "testing/fault_test/final_checks.h"
#include "testing/fault_test/findings.h"
#include "testing/fault_test/history.h"
#include "testing/fault_test/lease_history.h"
#include "testing/fault_test/link_faults.h"
#include "testing/fault_test/measurements.h"
#include "testing/fault_test/operator_client.h"
#include "testing/fault_test/operator_workload.h"
#include "testing/fault_test/proxy_processes.h"
#include "testing/fault_test/relay.h"
#include "testing/fault_test/script.h"
#include "testing/fault_test/trial_environment.h"
#include "testing/simulation/links.h"

namespace lemoncroft::fault_test {

class TrialRunner {
 public:
  // `folder` exists and belongs to this trial alone; the processes' logs and files remain there.
  TrialRunner(const Trial& trial, std::string program, std::string folder);

  // Runs the trial to its end. Called once.
  TrialOutcome Run();

  // Results of the trial, after Run() has returned.
  Time started() const { return started_; }
  const History& history() const { return history_; }
  const LeaseHistory& leases() const { return leases_; }
  const LeaseCheckResult& lease_result() const { return lease_result_; }
  const Measurements& measurements() const { return measurements_; }

 private:
  // Executes the script and the workloads, from the first start to the last check.
  runtime::Task<> RunScript();
  runtime::Task<> AwaitAllServing();
  void StartWorkloads();
  runtime::Task<> RunActions();
  runtime::Task<> AwaitRecovery();
  runtime::Task<> StopLoad();
  TrialOutcome CheckHistory();

  void RunAction(const Action& action);
  void RunProcessAction(const Action& action);
  void RunLinkAction(const Action& action);
  void RunStoreAction(const Action& action);
  void RunOperatorAction(const Action& action);
  void Partition(const Action& action);
  void RecordLinkFaults();
  bool HasReplicatedConfig() const { return !trial_.voters.empty(); }

  // The loop's tasks refer to the members declared after `loop_`; Loop::Run() destroys those tasks before it
  // returns.
  const Trial trial_;
  runtime::Loop loop_;
  simulation::Links links_;
  TrialEnvironment environment_;
  Relay relay_;
  Findings findings_;
  History history_;
  LeaseHistory leases_;
  ProxyProcesses processes_;
  LinkFaultInjector link_faults_;
  ClientLoad load_;
  OperatorClient operators_;
  ProposalWorkload proposals_;
  ConfigFileRollout file_rollout_;
  ReplicatedConfigCheck config_check_;
  Measurements measurements_;
  PartitionAvailability partition_availability_;
  LeaseCheckResult lease_result_;
  Time started_{};
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_TRIAL_RUNNER_H_
