// What processes did under which version of the rules, and whether that keeps the promise of
// docs/agreement.md.
//
// Contract. No I/O, no clock: the trial runner hands over the processes' log lines and the operators'
// calls; Check looks at all of it afterwards. Times are of CLOCK_MONOTONIC, which all processes share; each
// act is stamped by the process in the turn in which it acted. Safety has no slack: however late the
// machine ran, a rule that broke is broken. Owner: the trial runner.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_LEASE_HISTORY_H_
#define LEMONCROFT_TESTING_FAULT_TEST_LEASE_HISTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "testing/fault_test/linearizability.h"

namespace lemoncroft::fault_test {

struct LeasedAction {
  runtime::Time at{};
  std::size_t process = 0;  // its place in History::processes
  std::uint64_t version = 0;
  bool isolated = false;  // by one that was cut off, as its version lets it
  std::string engine;
};

// An engine that an operator had taken out or back, once the fleet agreed.
struct ManualEjection {
  std::string engine;
  bool ejected = false;
  std::uint64_t version = 0;
};

struct LeaseCheckResult {
  double max_contradiction_ms = 0;
  std::uint64_t stale_actions = 0;  // later than the bound after one on a newer version was first acted on
  std::uint64_t actions = 0;
  std::vector<std::string> violations;
};

class LeaseHistory {
 public:
  std::vector<Operation> operations;
  std::vector<ManualEjection> manual_ejections;

  // Takes in a process's log line, where it is of the rules.
  void RecordLogLine(std::size_t process, std::string_view line);
  LeaseCheckResult Check(runtime::Span max_contradiction) const;
  // When the last of these processes put the version, or a later one, in force; kNever where one never did.
  runtime::Time ActivatedByAll(std::uint64_t version, const std::vector<std::size_t>& processes) const;
  const std::map<std::string, runtime::Time>& committed() const { return committed_; }
  std::uint64_t newest() const { return newest_; }
  // When a leader told first that a version is committed.
  const std::map<std::uint64_t, runtime::Time>& committed_at() const { return committed_at_; }

 private:
  struct Activation {
    runtime::Time at{};
    std::size_t process = 0;
    std::uint64_t version = 0;
  };
  std::vector<LeasedAction> actions_;
  std::vector<Activation> activations_;
  std::map<std::string, runtime::Time> committed_;  // by a change's id, when first told
  std::map<std::uint64_t, runtime::Time> committed_at_;
  std::map<std::uint64_t, std::string> ids_;
  std::vector<std::string> conflicting_versions_;  // versions that two changes were told to be
  std::uint64_t newest_ = 0;
};

// The value behind "NAME=" in a log line; empty where there is none.
std::string LogField(std::string_view line, std::string_view name);

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_LEASE_HISTORY_H_
