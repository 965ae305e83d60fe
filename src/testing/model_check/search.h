// Breadth-first search of the states that a system can reach. The search visits each distinct state once,
// until no states remain or a limit is reached.
//
// `State` is copied. `append_successors` appends the states that one step can lead to. `violation_of`
// describes the invariant that a state violates, or returns an empty text. `canonical` returns equal texts
// for states that differ only in irrelevant details (symmetric names, times). The search ends at the first
// violation, whose path is a shortest one. States are identified by a 128-bit hash of their canonical text.
// Source: explicit-state model checking as in Murphi (Dill 1996) and TLC (Lamport 2002).
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
  std::uint64_t states = 0;  // distinct states
  std::uint64_t depth = 0;   // steps from the first state
  bool exhausted = false;    // all reachable states were searched
  std::string violation;     // empty if none was found
};

template <typename State, typename AppendSuccessors, typename Violation, typename Canonical>
SearchResult Search(State first, const AppendSuccessors& append_successors, const Violation& violation_of,
                    const Canonical& canonical, std::uint64_t max_states) {
  SearchResult result;
  std::unordered_set<Hash, StateHasher> seen;
  std::vector<State> frontier, next_frontier;
  seen.insert(HashState(canonical(first)));
  frontier.push_back(std::move(first));
  for (; !frontier.empty(); frontier.swap(next_frontier), next_frontier.clear(), ++result.depth) {
    for (const State& state : frontier) {
      std::vector<State> successors;
      append_successors(state, successors);
      for (State& successor : successors) {
        if (!seen.insert(HashState(canonical(successor))).second) continue;
        result.states = seen.size();
        result.violation = violation_of(successor);
        if (!result.violation.empty() || result.states >= max_states) return result;
        next_frontier.push_back(std::move(successor));
      }
    }
  }
  result.exhausted = true;
  return result;
}

}  // namespace lemoncroft::model_check

#endif  // LEMONCROFT_TESTING_MODEL_CHECK_SEARCH_H_
