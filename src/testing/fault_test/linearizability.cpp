#include "testing/fault_test/linearizability.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace lemoncroft::fault_test {
namespace {

// Returns the version after the operation takes effect on `version`; nullopt if its response rules that
// out.
std::optional<std::uint64_t> Apply(const Operation& operation, std::uint64_t version) {
  const auto unchanged_if = [version](bool possible) {
    return possible ? std::optional(version) : std::nullopt;
  };
  const bool based_on_current = operation.base_version == version;
  switch (operation.result) {
    case Operation::Result::kCommitted:
      if (operation.kind == Operation::Kind::kRead) return unchanged_if(operation.version == version);
      if (!based_on_current || operation.version != version + 1) return std::nullopt;
      return version + 1;
    case Operation::Result::kConflict:
      return unchanged_if(operation.version == version && !based_on_current);
    case Operation::Result::kRejected:
      return version;
    case Operation::Result::kUnknown:
      // A read, or a change that is based on another version, has no effect.
      return operation.kind == Operation::Kind::kChange && based_on_current ? version + 1 : version;
  }
  return std::nullopt;
}

// The operations that have taken effect, which are all before `first_pending` and those in `later`, and
// the resulting version.
struct SearchState {
  std::size_t first_pending = 0;
  std::set<std::size_t> later;
  std::uint64_t version = 0;

  bool IsPending(std::size_t operation) const {
    return operation >= first_pending && !later.contains(operation);
  }
  void MarkApplied(std::size_t operation) {
    later.insert(operation);
    while (later.erase(first_pending) > 0) ++first_pending;
  }
  bool operator<(const SearchState& other) const {
    return std::tie(first_pending, version, later) <
           std::tie(other.first_pending, other.version, other.later);
  }
};

// Depth-first search over the orders in which the operations, sorted by invocation, may take effect.
class Search {
 public:
  Search(const std::vector<Operation>& operations, std::uint64_t max_states)
      : operations_(operations), max_states_(max_states) {}

  LinearizabilityResult Run() {
    std::vector<SearchState> open = {SearchState()};
    seen_.insert(open.back());
    while (!open.empty()) {
      const SearchState state = std::move(open.back());
      open.pop_back();
      if (IsComplete(state)) return LinearizabilityResult::kLinearizable;
      if (!Expand(state, open)) return LinearizabilityResult::kStateLimitExceeded;
    }
    return LinearizabilityResult::kNotLinearizable;
  }

 private:
  // Adds the unseen states that result from one more operation. Returns false if the number of states
  // exceeds the limit.
  bool Expand(const SearchState& state, std::vector<SearchState>& open) {
    // An operation can be next only if it was invoked before any pending one returned.
    const runtime::Time earliest_return = FirstPendingReturn(state);
    for (std::size_t i = state.first_pending; i < operations_.size(); ++i) {
      if (operations_[i].invoked > earliest_return) break;
      if (!state.IsPending(i)) continue;
      const std::optional<std::uint64_t> version = Apply(operations_[i], state.version);
      if (!version) continue;
      SearchState next = state;
      next.version = *version;
      next.MarkApplied(i);
      if (!seen_.insert(next).second) continue;
      if (seen_.size() > max_states_) return false;
      open.push_back(std::move(next));
    }
    return true;
  }

  runtime::Time FirstPendingReturn(const SearchState& state) const {
    runtime::Time first = runtime::kNever;
    for (std::size_t i = state.first_pending; i < operations_.size(); ++i)
      if (state.IsPending(i)) first = std::min(first, operations_[i].returned);
    return first;
  }

  // Operations without a response need not take effect.
  bool IsComplete(const SearchState& state) const { return FirstPendingReturn(state) == runtime::kNever; }

  const std::vector<Operation>& operations_;
  std::uint64_t max_states_;
  std::set<SearchState> seen_;
};

// Returns true if an operation constrains the order of the others.
bool ConstrainsOrder(const Operation& operation) {
  if (operation.result == Operation::Result::kRejected) return false;
  return operation.kind == Operation::Kind::kChange || operation.result != Operation::Result::kUnknown;
}

}  // namespace

LinearizabilityResult CheckLinearizability(const std::vector<Operation>& history, std::uint64_t max_states) {
  std::vector<Operation> operations;
  for (Operation operation : history) {
    if (operation.result == Operation::Result::kUnknown) operation.returned = runtime::kNever;
    if (ConstrainsOrder(operation)) operations.push_back(std::move(operation));
  }
  std::stable_sort(operations.begin(), operations.end(),
                   [](const Operation& a, const Operation& b) { return a.invoked < b.invoked; });
  return Search(operations, max_states).Run();
}

}  // namespace lemoncroft::fault_test
