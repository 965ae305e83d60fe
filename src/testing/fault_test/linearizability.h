// Whether a history of calls on the fleet's rules could have come of one copy that takes each call at some
// instant between its begin and its answer.
//
// Contract. No I/O, no clock, deterministic. The object: a version number, 0 at first; a change made from
// it raises it by one, a read tells it. A call whose answer nobody knows may have been taken at any time
// after its begin, or never. The search is bounded; past the bound it says so. Source: Wing, Gong (1993);
// Lowe, "Testing for linearizability" (2017), for the memoization.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_LINEARIZABILITY_H_
#define LEMONCROFT_TESTING_FAULT_TEST_LINEARIZABILITY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "runtime/loop.h"

namespace lemoncroft::fault_test {

struct Operation {
  enum class Kind { kChange, kRead };
  enum class Result {
    kCommitted,  // a change: it is version `version`; a read: `version` is the newest
    kConflict,   // it was not the newest that the change was made from: `version` was
    kRejected,   // by a check: it tells nothing of versions
    kUnknown,
  };
  Kind kind = Kind::kChange;
  std::string id;
  runtime::Time invoked{}, returned = runtime::kNever;
  std::uint64_t base_version = 0;  // of a change
  Result result = Result::kUnknown;
  std::uint64_t version = 0;
};

enum class LinearizabilityResult { kLinearizable, kNotLinearizable, kStateLimitExceeded };
LinearizabilityResult CheckLinearizability(const std::vector<Operation>& history,
                                           std::uint64_t max_states = 2'000'000);

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_LINEARIZABILITY_H_
