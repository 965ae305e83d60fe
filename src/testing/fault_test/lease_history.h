// Records the actions of processes with the version of the replicated configuration that each is based on,
// and checks them against the guarantees of docs/agreement.md.
//
// Has no I/O and no clock. Owned by the TrialRunner, which passes in the processes' log lines and the
// operators' calls; Check() evaluates all of them afterwards. Times are CLOCK_MONOTONIC, which all
// processes share; a process records the time of each action in the turn of its loop in which it acts. The
// bounds contain no slack, however slow the machine is. However, an attempt that is void for another
// reason is repeated, and its violations do not count (trial_series.cpp).
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
  std::string proxy;        // the name of that process
  std::uint64_t version = 0;
  bool isolated = false;  // the process had no lease and its version permits that
  std::string engine;
};

// An acknowledged call for a manual ejection, or for the end of one.
struct ManualEjection {
  std::string engine;
  bool ejected = false;
  std::uint64_t version = 0;  // 0: the response did not say that the fleet has agreed
  std::string proxy;          // the proxy that was called
  runtime::Time invoked{}, returned = runtime::kNever;
};

struct LeaseCheckResult {
  // The longest time between an action on a version and an earlier action of another process on a later
  // version.
  double max_contradiction_ms = 0;
  std::uint64_t stale_actions = 0;  // actions for which that time exceeded the bound
  std::uint64_t actions = 0;
  std::vector<std::string> violations;
};

class LeaseHistory {
 public:
  // Recorded by the OperatorClient.
  std::vector<Operation> operations;
  std::vector<ManualEjection> manual_ejections;

  // Records a log line of a process of `proxy` if it is about the replicated configuration.
  void RecordLogLine(std::size_t process, const std::string& proxy, std::string_view line);
  LeaseCheckResult Check(runtime::Duration max_contradiction) const;
  // Returns the time at which the last of these processes activated the version or a later one; kNever if
  // one of them never did.
  runtime::Time ActivatedByAll(std::uint64_t version, const std::vector<std::size_t>& processes) const;
  // Returns the last call for each engine whose effect is certain: no other call for that engine and no
  // proposal of a document may have taken effect after it.
  std::vector<ManualEjection> LastManualEjections() const;
  std::uint64_t newest_version() const { return newest_version_; }
  // By version: the time at which a leader first logged that the version is committed.
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
  // Checks that no process of the proxy that acknowledged an ejection sends to the engine any more, until a
  // call that may end the ejection.
  void CheckAcknowledgedEjections(LeaseCheckResult& out) const;
  // Checks that the versions in responses respect the order of the calls in real time.
  void CheckEjectionOrder(LeaseCheckResult& out) const;
  // Returns the earliest time at which a later call may have ended the ejection.
  runtime::Time EndTimeOf(const ManualEjection& ejection) const;
  void CheckOperations(LeaseCheckResult& out) const;
  // Returns the version that ended an ejection; the maximum value if none did.
  std::uint64_t EndVersionOf(const ManualEjection& ejection) const;
  // Returns the first version after `version` that a change of this proxy brought about; the maximum value if
  // there is none. It bounds the effect of a call that the proxy had not had committed when it answered.
  std::uint64_t NextVersionBy(const std::string& proxy, std::uint64_t version) const;
  // Returns the operators' calls and the changes that proxies proposed on their own.
  std::vector<Operation> AllOperations() const;

  std::vector<LeasedAction> actions_;
  std::vector<Activation> activations_;
  std::map<std::uint64_t, runtime::Time> committed_at_;  // by version
  std::map<std::uint64_t, std::string> change_ids_;      // by version
  std::vector<std::string> conflicting_versions_;        // violations: a version with two different changes
  std::uint64_t newest_version_ = 0;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_LEASE_HISTORY_H_
