// Checks whether a history of calls on the replicated configuration is linearizable: whether it could result
// from a single copy on which each call takes effect at some instant between its invocation and its response.
//
// Deterministic, without I/O or a clock. The object is a version number, initially 0: a change based on
// the current version increments it, a read returns it. A call without a response may have taken effect at
// any time after its invocation, or never. The number of search states is bounded. The algorithm is that
// of Wing and Gong (1993) with the memoization of Lowe, "Testing for linearizability" (2017).
#ifndef LEMONCROFT_TESTING_FAULT_TEST_LINEARIZABILITY_H_
#define LEMONCROFT_TESTING_FAULT_TEST_LINEARIZABILITY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "runtime/loop.h"

namespace lemoncroft::fault_test {

// A call and its response.
struct Operation {
  enum class Kind { kChange, kRead };
  enum class Result {
    kCommitted,  // a change became `version`; a read returned `version`
    kConflict,   // the change was not based on `version`, which was the newest
    kRejected,   // by a check of the document; implies nothing about versions
    kUnknown,    // no response
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
