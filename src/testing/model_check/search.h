// A search of all states that a system can come to, breadth first: each distinct state once, by the hash of
// its canonical form, until there are no more or a bound is reached.
//
// Contract. `State` is copied; `next` appends the states that one step leads to; `wrong` tells the rule that
// a state breaks, or nothing; `canonical` is the same text for states that differ in nothing that matters
// (names under a symmetry, times). The first state that breaks a rule ends the search; breadth first, its
// path is a shortest one. Owner: a test or a measurement. Errors: none; a hash of 128 bits is taken for the
// state. Source: explicit-state model checking as in Murphi (Dill 1996) and TLC (Lamport 2002).
#ifndef LEMONCROFT_MODEL_SEARCH_H_
#define LEMONCROFT_MODEL_SEARCH_H_

#include <cstdint>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "testing/model_check/hash.h"

namespace lemoncroft::model_check {

struct Found {
  std::uint64_t states = 0;  // distinct ones
  std::uint64_t depth = 0;   // steps from the first
  bool whole = false;        // all there are within the system's own bounds
  std::string broken;        // the rule; empty: none
};

template <typename State, typename Next, typename Wrong, typename Canonical>
Found Search(State first, const Next& next, const Wrong& wrong, const Canonical& canonical,
             std::uint64_t most) {
  Found found;
  std::unordered_set<Hash, HashOfHash> seen;
  std::vector<State> now, then;
  seen.insert(HashOf(canonical(first)));
  now.push_back(std::move(first));
  for (; !now.empty(); now.swap(then), then.clear(), ++found.depth) {
    for (const State& state : now) {
      std::vector<State> reached;
      next(state, reached);
      for (State& one : reached) {
        if (!seen.insert(HashOf(canonical(one))).second) continue;
        found.states = seen.size();
        found.broken = wrong(one);
        if (!found.broken.empty() || found.states >= most) return found;
        then.push_back(std::move(one));
      }
    }
  }
  found.whole = true;
  return found;
}

}  // namespace lemoncroft::model_check

#endif  // LEMONCROFT_MODEL_SEARCH_H_
