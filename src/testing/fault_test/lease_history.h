// What processes did under which version of the replicated configuration, and whether that keeps the
// guarantees of docs/agreement.md.
//
// No I/O and no clock: owned by the TrialRunner, which passes in the processes' log lines and the
// operators' calls; Check() looks at all of it afterwards. Times are of CLOCK_MONOTONIC, which all
// processes share; a process stamps each action in the turn of its loop in which it acts. There is no
// slack in the bounds, however slow the machine. An attempt that is void for another reason is repeated,
// though, and its violations don't count (trial_series.cpp).
#ifndef LEMONCROFT_TESTING_FAULT_TEST_LEASE_HISTORY_H_
#define LEMONCROFT_TESTING_FAULT_TEST_LEASE_HISTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "testing/fault_test/linearizability.h"

namespace lemoncroft::fault_test {

// A statement that a process sent to an engine.
struct LeasedAction {
  runtime::Time at{};
  std::size_t process = 0;  // index in History::processes
  std::uint64_t version = 0;
  bool isolated = false;  // the process had no lease and its version permits that
  std::string engine;
};

// A manual ejection, or the end of one, that the fleet agreed on.
struct ManualEjection {
  std::string engine;
  bool ejected = false;
  std::uint64_t version = 0;
};

struct LeaseCheckResult {
  // The longest time by which one process acted on a version after another had acted on a later one.
  double max_contradiction_ms = 0;
  std::uint64_t stale_actions = 0;  // for which that time exceeded the bound
  std::uint64_t actions = 0;
  std::vector<std::string> violations;
};

class LeaseHistory {
 public:
  // Recorded by the OperatorClient.
  std::vector<Operation> operations;
  std::vector<ManualEjection> manual_ejections;

  // Records a process's log line if it is about the replicated configuration.
  void RecordLogLine(std::size_t process, std::string_view line);
  LeaseCheckResult Check(runtime::Duration max_contradiction) const;
  // When the last of these processes activated the version or a later one; kNever if one never did.
  runtime::Time ActivatedByAll(std::uint64_t version, const std::vector<std::size_t>& processes) const;
  std::uint64_t newest_version() const { return newest_version_; }
  // When a leader first logged that a version is committed.
  const std::map<std::uint64_t, runtime::Time>& committed_at() const { return committed_at_; }

 private:
  struct Activation {
    runtime::Time at{};
    std::size_t process = 0;
    std::uint64_t version = 0;
  };

  void RecordCommit(std::string_view line);
  void CheckContradictions(runtime::Duration max_contradiction, LeaseCheckResult& out) const;
  void CheckEjections(LeaseCheckResult& out) const;
  void CheckOperations(LeaseCheckResult& out) const;
  // The version that ended an ejection.
  std::uint64_t EndVersionOf(const ManualEjection& ejection) const;
  // The operators' calls, and the changes that proxies proposed themselves.
  std::vector<Operation> AllOperations() const;

  std::vector<LeasedAction> actions_;
  std::vector<Activation> activations_;
  std::map<std::uint64_t, runtime::Time> committed_at_;  // by version
  std::map<std::uint64_t, std::string> change_ids_;      // by version
  std::vector<std::string> conflicting_versions_;        // violations: one version, two changes
  std::uint64_t newest_version_ = 0;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_LEASE_HISTORY_H_
