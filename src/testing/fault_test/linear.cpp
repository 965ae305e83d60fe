#include "testing/fault_test/linear.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace lemoncroft::fault_test {
namespace {

using Ops = std::vector<Operation>;

// The version after `op` is taken at `version`; nothing where it can't be then.
bool Apply(const Operation& op, std::uint64_t version, std::uint64_t& after) {
  after = version;
  switch (op.end) {
    case Operation::End::kTaken:
      if (op.kind == Operation::Kind::kRead) return op.told == version;
      after = version + 1;
      return op.from == version && op.told == after;
    case Operation::End::kConflict:
      return op.told == version && op.from != version;
    case Operation::End::kRefused:
      return true;
    case Operation::End::kUnknown:
      if (op.kind == Operation::Kind::kChange && op.from == version) after = version + 1;
      return true;  // without an effect where it is no longer the newest, or is a read
  }
  return false;
}

// What is taken so far: all before `first`, and those in `beyond`.
struct Taken {
  std::size_t first = 0;
  std::set<std::size_t> beyond;
  std::uint64_t version = 0;
  bool operator<(const Taken& other) const {
    return std::tie(first, version, beyond) < std::tie(other.first, other.version, other.beyond);
  }
};

class Search {
 public:
  Search(const Ops& ops, std::uint64_t most) : ops_(ops), most_(most) {}

  Linear Run() {
    std::vector<Taken> open = {Taken()};
    seen_.insert(open.back());
    while (!open.empty()) {
      Taken state = std::move(open.back());
      open.pop_back();
      if (Done(state)) return Linear::kYes;
      // The next is one that begins before any that is left ends.
      runtime::Time horizon = runtime::kNever;
      for (std::size_t i = state.first; i < ops_.size(); ++i)
        if (!state.beyond.contains(i)) horizon = std::min(horizon, ops_[i].ended);
      for (std::size_t i = state.first; i < ops_.size() && ops_[i].begun <= horizon; ++i) {
        if (state.beyond.contains(i)) continue;
        std::uint64_t after = 0;
        if (!Apply(ops_[i], state.version, after)) continue;
        Taken next = state;
        next.version = after;
        next.beyond.insert(i);
        while (next.beyond.erase(next.first) > 0) ++next.first;
        if (!seen_.insert(next).second) continue;
        if (seen_.size() > most_) return Linear::kTooLong;
        open.push_back(std::move(next));
      }
    }
    return Linear::kNo;
  }

 private:
  // What nobody knows the answer of need not be taken.
  bool Done(const Taken& state) const {
    for (std::size_t i = state.first; i < ops_.size(); ++i)
      if (!state.beyond.contains(i) && ops_[i].ended != runtime::kNever) return false;
    return true;
  }

  const Ops& ops_;
  std::uint64_t most_;
  std::set<Taken> seen_;
};

}  // namespace

Linear Linearizable(const std::vector<Operation>& history, std::uint64_t most_states) {
  Ops ops;
  for (Operation op : history) {
    if (op.end == Operation::End::kUnknown) op.ended = runtime::kNever;
    const bool tells = op.end != Operation::End::kRefused &&
                       !(op.kind == Operation::Kind::kRead && op.end == Operation::End::kUnknown);
    if (tells) ops.push_back(std::move(op));
  }
  std::stable_sort(ops.begin(), ops.end(),
                   [](const Operation& a, const Operation& b) { return a.begun < b.begun; });
  return Search(ops, most_states).Run();
}

}  // namespace lemoncroft::fault_test
