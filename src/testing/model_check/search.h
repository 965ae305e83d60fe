// A search of all states that a system can come to, breadth first: each distinct state once, by the hash of
// its canonical form, until there are no more or a bound is reached.
//
// Contract. `State` is copied; `next` appends the states that one step leads to; `wrong` tells the rule that
// a state breaks, or nothing; `canonical` is the same text for states that differ in nothing that matters
// (names under a symmetry, times). The first state that breaks a rule ends the search; breadth first, its
// path is a shortest one. Owner: a test or a measurement. Errors: none; a hash of 128 bits is taken for the
// state. Source: explicit-state model checking as in Murphi (Dill 1996) and TLC (Lamport 2002).
#ifndef LEMONCROFT_TESTING_MODEL_CHECK_SEARCH_H_
#define LEMONCROFT_TESTING_MODEL_CHECK_SEARCH_H_

#include <cstdint>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "testing/model_check/hash.h"

namespace lemoncroft::model_check {

struct SearchResult {
  std::uint64_t states = 0;  // distinct ones
  std::uint64_t depth = 0;   // steps from the first
  bool exhausted = false;    // all there are within the system's own bounds
  std::string violation;     // the rule; empty: none
};

template <typename State, typename AppendSuccessors, typename Violation, typename Canonical>
SearchResult Search(State first, const AppendSuccessors& append_successors, const Violation& violation_of,
                    const Canonical& canonical, std::uint64_t max_states) {
  SearchResult result;
  std::unordered_set<Hash, StateHasher> seen;
  std::vector<State> now, then;
  seen.insert(HashState(canonical(first)));
  now.push_back(std::move(first));
  for (; !now.empty(); now.swap(then), then.clear(), ++result.depth) {
    for (const State& state : now) {
      std::vector<State> reached;
      append_successors(state, reached);
      for (State& successor : reached) {
        if (!seen.insert(HashState(canonical(successor))).second) continue;
        result.states = seen.size();
        result.violation = violation_of(successor);
        if (!result.violation.empty() || result.states >= max_states) return result;
        then.push_back(std::move(successor));
      }
    }
  }
  result.exhausted = true;
  return result;
}

}  // namespace lemoncroft::model_check

#endif  // LEMONCROFT_TESTING_MODEL_CHECK_SEARCH_H_
