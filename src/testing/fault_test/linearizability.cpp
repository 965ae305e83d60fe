#include "testing/fault_test/linearizability.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace lemoncroft::fault_test {
namespace {

using Operations = std::vector<Operation>;

// The version after `op` is taken at `version`; nothing where it can't be then.
bool Apply(const Operation& op, std::uint64_t version, std::uint64_t& after) {
  after = version;
  switch (op.result) {
    case Operation::Result::kCommitted:
      if (op.kind == Operation::Kind::kRead) return op.version == version;
      after = version + 1;
      return op.base_version == version && op.version == after;
    case Operation::Result::kConflict:
      return op.version == version && op.base_version != version;
    case Operation::Result::kRejected:
      return true;
    case Operation::Result::kUnknown:
      if (op.kind == Operation::Kind::kChange && op.base_version == version) after = version + 1;
      return true;  // without an effect where it is no longer the newest, or is a read
  }
  return false;
}

// What is taken so far: all before `first_pending`, and those in `applied`.
struct SearchState {
  std::size_t first_pending = 0;
  std::set<std::size_t> applied;
  std::uint64_t version = 0;
  bool operator<(const SearchState& other) const {
    return std::tie(first_pending, version, applied) <
           std::tie(other.first_pending, other.version, other.applied);
  }
};

class Search {
 public:
  Search(const Operations& ops, std::uint64_t max_states) : ops_(ops), max_states_(max_states) {}

  LinearizabilityResult Run() {
    std::vector<SearchState> open = {SearchState()};
    seen_.insert(open.back());
    while (!open.empty()) {
      SearchState state = std::move(open.back());
      open.pop_back();
      if (IsComplete(state)) return LinearizabilityResult::kLinearizable;
      // The next is one that begins before any that is left ends.
      runtime::Time horizon = runtime::kNever;
      for (std::size_t i = state.first_pending; i < ops_.size(); ++i)
        if (!state.applied.contains(i)) horizon = std::min(horizon, ops_[i].returned);
      for (std::size_t i = state.first_pending; i < ops_.size() && ops_[i].invoked <= horizon; ++i) {
        if (state.applied.contains(i)) continue;
        std::uint64_t after = 0;
        if (!Apply(ops_[i], state.version, after)) continue;
        SearchState next = state;
        next.version = after;
        next.applied.insert(i);
        while (next.applied.erase(next.first_pending) > 0) ++next.first_pending;
        if (!seen_.insert(next).second) continue;
        if (seen_.size() > max_states_) return LinearizabilityResult::kStateLimitExceeded;
        open.push_back(std::move(next));
      }
    }
    return LinearizabilityResult::kNotLinearizable;
  }

 private:
  // What nobody knows the answer of need not be taken.
  bool IsComplete(const SearchState& state) const {
    for (std::size_t i = state.first_pending; i < ops_.size(); ++i)
      if (!state.applied.contains(i) && ops_[i].returned != runtime::kNever) return false;
    return true;
  }

  const Operations& ops_;
  std::uint64_t max_states_;
  std::set<SearchState> seen_;
};

}  // namespace

LinearizabilityResult CheckLinearizability(const std::vector<Operation>& history, std::uint64_t max_states) {
  Operations ops;
  for (Operation op : history) {
    if (op.result == Operation::Result::kUnknown) op.returned = runtime::kNever;
    const bool tells = op.result != Operation::Result::kRejected &&
                       !(op.kind == Operation::Kind::kRead && op.result == Operation::Result::kUnknown);
    if (tells) ops.push_back(std::move(op));
  }
  std::stable_sort(ops.begin(), ops.end(),
                   [](const Operation& a, const Operation& b) { return a.invoked < b.invoked; });
  return Search(ops, max_states).Run();
}

}  // namespace lemoncroft::fault_test
