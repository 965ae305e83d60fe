// What processes did under which version of the rules, and whether that keeps the promise of
// docs/agreement.md.
//
// Contract. No I/O, no clock: the rig hands over the processes' log lines and the operators' calls; Check
// looks at all of it afterwards. Times are of CLOCK_MONOTONIC, which all processes share; each act is stamped
// by the process in the turn in which it acted. Safety has no slack: however late the machine ran, a rule
// that broke is broken. Owner: the rig.
#ifndef LEMONCROFT_TRIAL_ACTS_H_
#define LEMONCROFT_TRIAL_ACTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "testing/fault_test/linear.h"

namespace lemoncroft::fault_test {

struct Act {
  runtime::Time at{};
  std::size_t by = 0;  // the life
  std::uint64_t version = 0;
  bool kept = false;  // by one that was cut off, as its version lets it
  std::string engine;
};

// An engine that an operator had taken out or back, once the fleet agreed.
struct ByHand {
  std::string engine;
  bool out = false;
  std::uint64_t version = 0;
};

struct ActsOutcome {
  double contradiction_ms = 0;  // the longest
  std::uint64_t stale = 0;      // acts on a version later than that after another was first acted on
  std::uint64_t acts = 0;
  std::vector<std::string> broken;
};

class Acts {
 public:
  std::vector<Operation> operations;
  std::vector<ByHand> by_hand;

  // Takes in a process's log line, where it is of the rules.
  void Hear(std::size_t life, std::string_view line);
  ActsOutcome Check(runtime::Span stated) const;
  // When the last of these lives put the version, or a later one, in force; kNever where one never did.
  runtime::Time InForceAtAll(std::uint64_t version, const std::vector<std::size_t>& lives) const;
  const std::map<std::string, runtime::Time>& committed() const { return committed_; }
  std::uint64_t newest() const { return newest_; }
  // When a leader told first that a version is committed.
  const std::map<std::uint64_t, runtime::Time>& committed_at() const { return committed_at_; }

 private:
  struct InForce {
    runtime::Time at{};
    std::size_t by = 0;
    std::uint64_t version = 0;
  };
  std::vector<Act> acts_;
  std::vector<InForce> in_force_;
  std::map<std::string, runtime::Time> committed_;  // by a change's id, when first told
  std::map<std::uint64_t, runtime::Time> committed_at_;
  std::map<std::uint64_t, std::string> ids_;
  std::vector<std::string> twice_;  // versions that two changes were told to be
  std::uint64_t newest_ = 0;
};

// The value behind "NAME=" in a log line; empty where there is none.
std::string FieldOf(std::string_view line, std::string_view name);

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TRIAL_ACTS_H_
