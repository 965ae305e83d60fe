#include "testing/fault_test/lease_history.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace lemoncroft::fault_test {
namespace {

std::uint64_t Number(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

runtime::Time Stamp(std::string_view line) {
  return runtime::Time(std::chrono::microseconds(Number(LogField(line, "mono_us"))));
}

double Ms(runtime::Span span) { return std::chrono::duration<double, std::milli>(span).count(); }

}  // namespace

std::string LogField(std::string_view line, std::string_view name) {
  const std::string key = " " + std::string(name) + "=";
  const std::size_t at = line.find(key);
  if (at == std::string_view::npos) return {};
  const std::size_t from = at + key.size();
  return std::string(line.substr(from, line.find_first_of(" \n", from) - from));
}

void LeaseHistory::RecordLogLine(std::size_t process, std::string_view line) {
  if (line.find(" rules act=") != std::string_view::npos) {
    actions_.push_back({Stamp(line), process, Number(LogField(line, "version")),
                        LogField(line, "act") == "kept", LogField(line, "engine")});
    return;
  }
  if (line.find(" rules event=in_force") != std::string_view::npos)
    activations_.push_back({Stamp(line), process, Number(LogField(line, "version"))});
  constexpr std::string_view kCommitted = "rules: version ";
  const std::size_t at = line.find(kCommitted), is = line.find(" is committed, change ");
  if (at == std::string_view::npos || is == std::string_view::npos) return;
  const std::uint64_t version = Number(std::string(line.substr(at + kCommitted.size())));
  std::string id(line.substr(is + std::string_view(" is committed, change ").size()));
  id = id.substr(0, id.find(' '));
  newest_ = std::max(newest_, version);
  const auto [it, fresh] = ids_.try_emplace(version, id);
  if (!fresh && it->second != id)
    conflicting_versions_.push_back("version " + std::to_string(version) + " is " + it->second + " and " +
                                    id);
  const auto [known, first] = committed_.try_emplace(id, Stamp(line));
  if (!first) known->second = std::min(known->second, Stamp(line));
  const auto [when, earliest] = committed_at_.try_emplace(version, Stamp(line));
  if (!earliest) when->second = std::min(when->second, Stamp(line));
}

LeaseCheckResult LeaseHistory::Check(runtime::Span max_contradiction) const {
  LeaseCheckResult out;
  out.actions = actions_.size();
  out.violations = conflicting_versions_;
  std::vector<LeasedAction> actions = actions_;
  std::erase_if(actions, [](const LeasedAction& act) { return act.isolated; });
  std::stable_sort(actions.begin(), actions.end(),
                   [](const LeasedAction& a, const LeasedAction& b) { return a.at < b.at; });
  // When each process first acted on each version, so far.
  std::map<std::uint64_t, std::map<std::size_t, runtime::Time>> first;
  for (const LeasedAction& act : actions) {
    first[act.version].try_emplace(act.process, act.at);
    runtime::Span apart{};
    std::uint64_t other = 0;
    for (auto it = first.upper_bound(act.version); it != first.end(); ++it)
      for (const auto& [process, at] : it->second)
        if (process != act.process && act.at - at > apart) apart = act.at - at, other = it->first;
    out.max_contradiction_ms = std::max(out.max_contradiction_ms, Ms(apart));
    if (apart > max_contradiction) {
      ++out.stale_actions;
      if (out.stale_actions == 1)
        out.violations.push_back("an act on version " + std::to_string(act.version) + " came " +
                                 std::to_string(Ms(apart)) + " ms after one on version " +
                                 std::to_string(other));
    }
  }
  for (const ManualEjection& hand : manual_ejections) {
    if (!hand.ejected || hand.version == 0) continue;
    std::uint64_t back = std::numeric_limits<std::uint64_t>::max();
    for (const ManualEjection& later : manual_ejections)
      if (!later.ejected && later.engine == hand.engine && later.version > hand.version)
        back = std::min(back, later.version);
    const auto sent = std::count_if(actions_.begin(), actions_.end(), [&](const LeasedAction& act) {
      return act.engine == hand.engine && act.version >= hand.version && act.version < back;
    });
    if (sent > 0)
      out.violations.push_back(std::to_string(sent) + " statements went to " + hand.engine + " by version " +
                               std::to_string(hand.version) + " or later, which has it out");
  }
  if (!operations.empty()) {
    // Changes that the program made by itself count as calls that could come at any time before they were
    // told.
    std::vector<Operation> all = operations;
    for (const auto& [version, id] : ids_) {
      const bool known =
          std::any_of(all.begin(), all.end(), [&, id = id](const Operation& op) { return op.id == id; });
      if (known) continue;
      Operation own;
      own.id = id;
      own.base_version = version - 1;
      own.result = Operation::Result::kCommitted;
      own.version = version;
      own.returned = committed_at_.at(version);
      all.push_back(std::move(own));
    }
    const LinearizabilityResult linear = CheckLinearizability(all);
    if (linear == LinearizabilityResult::kNotLinearizable)
      out.violations.push_back("the operators' calls are not linearizable");
    if (linear == LinearizabilityResult::kStateLimitExceeded)
      out.violations.push_back("the operators' calls are too many to be checked");
  }
  return out;
}

runtime::Time LeaseHistory::ActivatedByAll(std::uint64_t version,
                                           const std::vector<std::size_t>& processes) const {
  runtime::Time last{};
  for (const std::size_t process : processes) {
    runtime::Time own = runtime::kNever;
    for (const Activation& one : activations_)
      if (one.process == process && one.version >= version) own = std::min(own, one.at);
    last = std::max(last, own);
  }
  return last;
}

}  // namespace lemoncroft::fault_test
