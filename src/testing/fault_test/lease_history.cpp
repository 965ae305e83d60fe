#include "testing/fault_test/lease_history.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "testing/fault_test/log_fields.h"

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;

namespace {

// The time for which a proxy may still send to an engine that it has been told to avoid.
constexpr runtime::Duration kDrainGrace = 250ms;

// Texts of the proxy's log.
constexpr std::string_view kActionText = " rules act=";
constexpr std::string_view kActivationText = " rules event=in_force";
constexpr std::string_view kVersionText = "rules: version ";
constexpr std::string_view kCommittedText = " is committed, change ";
constexpr const char* kIsolatedAction = "kept";

double Milliseconds(runtime::Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

// Stores `time` for `key` unless an earlier time is stored.
void RecordEarliest(std::map<std::uint64_t, runtime::Time>& times, std::uint64_t key, runtime::Time time) {
  const auto [it, inserted] = times.try_emplace(key, time);
  if (!inserted) it->second = std::min(it->second, time);
}

// Returns true if the call may take effect after `time`. An end of an ejection that the fleet had not agreed
// on when it was answered takes effect at any later time.
bool MayTakeEffectAfter(const ManualEjection& call, runtime::Time time) {
  const bool waits_for_fleet = !call.ejected && call.version == 0;
  return waits_for_fleet || call.returned > time;
}

// By version and process: the time of the first action.
using FirstActions = std::map<std::uint64_t, std::map<std::size_t, runtime::Time>>;

struct Contradiction {
  runtime::Duration span{};
  std::uint64_t later_version = 0;
};

// Returns the longest time from another process's action on a later version to `action`.
Contradiction LongestContradiction(const FirstActions& first_actions, const LeasedAction& action) {
  Contradiction longest;
  for (auto it = first_actions.upper_bound(action.version); it != first_actions.end(); ++it)
    for (const auto& [process, at] : it->second)
      if (process != action.process && action.at - at > longest.span) longest = {action.at - at, it->first};
  return longest;
}

}  // namespace

void LeaseHistory::RecordLogLine(std::size_t process, const std::string& proxy, std::string_view line) {
  if (line.find(kActionText) != std::string_view::npos) {
    LeasedAction action;
    action.at = LogTime(line);
    action.process = process;
    action.proxy = proxy;
    action.version = LeadingNumber(LogField(line, "version"));
    action.isolated = LogField(line, "act") == kIsolatedAction;
    action.engine = LogField(line, "engine");
    actions_.push_back(std::move(action));
    return;
  }
  if (line.find(kActivationText) != std::string_view::npos)
    activations_.push_back({LogTime(line), process, LeadingNumber(LogField(line, "version"))});
  RecordCommit(line);
}

void LeaseHistory::RecordCommit(std::string_view line) {
  const std::size_t version_at = line.find(kVersionText), committed_at = line.find(kCommittedText);
  if (version_at == std::string_view::npos || committed_at == std::string_view::npos) return;
  const std::uint64_t version = LeadingNumber(line.substr(version_at + kVersionText.size()));
  std::string id(line.substr(committed_at + kCommittedText.size()));
  id = id.substr(0, id.find(' '));
  newest_version_ = std::max(newest_version_, version);
  const auto [known, inserted] = change_ids_.try_emplace(version, id);
  if (!inserted && known->second != id)
    conflicting_versions_.push_back("version " + std::to_string(version) +
                                    " was committed for two changes, " + known->second + " and " + id);
  RecordEarliest(committed_at_, version, LogTime(line));
}

LeaseCheckResult LeaseHistory::Check(runtime::Duration max_contradiction) const {
  LeaseCheckResult out;
  out.actions = actions_.size();
  out.violations = conflicting_versions_;
  CheckContradictions(max_contradiction, out);
  CheckEjections(out);
  CheckAcknowledgedEjections(out);
  CheckEjectionOrder(out);
  if (!operations.empty()) CheckOperations(out);
  return out;
}

void LeaseHistory::CheckContradictions(runtime::Duration max_contradiction, LeaseCheckResult& out) const {
  std::vector<LeasedAction> actions = actions_;
  std::erase_if(actions, [](const LeasedAction& action) { return action.isolated; });
  std::stable_sort(actions.begin(), actions.end(),
                   [](const LeasedAction& a, const LeasedAction& b) { return a.at < b.at; });
  FirstActions first_actions;
  for (const LeasedAction& action : actions) {
    first_actions[action.version].try_emplace(action.process, action.at);
    const Contradiction longest = LongestContradiction(first_actions, action);
    const double longest_ms = Milliseconds(longest.span);
    out.max_contradiction_ms = std::max(out.max_contradiction_ms, longest_ms);
    if (longest.span <= max_contradiction) continue;
    // Only the first stale action is reported as a violation; the others are counted.
    if (++out.stale_actions > 1) continue;
    out.violations.push_back("an action on version " + std::to_string(action.version) + " came " +
                             std::to_string(longest_ms) + " ms after one on version " +
                             std::to_string(longest.later_version));
  }
}

std::uint64_t LeaseHistory::NextVersionBy(const std::string& proxy, std::uint64_t version) const {
  for (auto it = change_ids_.upper_bound(version); it != change_ids_.end(); ++it)
    if (it->second.starts_with(proxy + "-")) return it->first;
  return std::numeric_limits<std::uint64_t>::max();
}

std::uint64_t LeaseHistory::EndVersionOf(const ManualEjection& ejection) const {
  std::uint64_t end = std::numeric_limits<std::uint64_t>::max();
  for (const ManualEjection& later : manual_ejections) {
    if (later.ejected || later.engine != ejection.engine) continue;
    if (later.version > ejection.version) end = std::min(end, later.version);
    if (later.version == 0) end = std::min(end, NextVersionBy(later.proxy, ejection.version));
  }
  return end;
}

void LeaseHistory::CheckEjections(LeaseCheckResult& out) const {
  for (const ManualEjection& ejection : manual_ejections) {
    if (!ejection.ejected || ejection.version == 0) continue;
    const std::uint64_t end = EndVersionOf(ejection);
    const auto sent = std::count_if(actions_.begin(), actions_.end(), [&](const LeasedAction& action) {
      return action.engine == ejection.engine && action.version >= ejection.version && action.version < end;
    });
    if (sent > 0)
      out.violations.push_back(std::to_string(sent) + " statements were sent to " + ejection.engine +
                               " under version " + std::to_string(ejection.version) +
                               " or later, which ejects it");
  }
}

runtime::Time LeaseHistory::EndTimeOf(const ManualEjection& ejection) const {
  runtime::Time end = runtime::kNever;
  for (const ManualEjection& other : manual_ejections)
    if (!other.ejected && other.engine == ejection.engine && MayTakeEffectAfter(other, ejection.invoked))
      end = std::min(end, other.invoked);
  for (const Operation& operation : operations)
    if (operation.kind == Operation::Kind::kChange && operation.returned > ejection.invoked)
      end = std::min(end, operation.invoked);
  return end;
}

void LeaseHistory::CheckAcknowledgedEjections(LeaseCheckResult& out) const {
  for (const ManualEjection& ejection : manual_ejections) {
    if (!ejection.ejected || ejection.returned == runtime::kNever) continue;
    const runtime::Time end = EndTimeOf(ejection);
    const auto sent = std::count_if(actions_.begin(), actions_.end(), [&](const LeasedAction& action) {
      return action.engine == ejection.engine && action.proxy == ejection.proxy &&
             action.at > ejection.returned + kDrainGrace && action.at < end;
    });
    if (sent > 0)
      out.violations.push_back(std::to_string(sent) + " statements were sent to " + ejection.engine + " by " +
                               ejection.proxy + ", which had acknowledged its ejection");
  }
}

void LeaseHistory::CheckEjectionOrder(LeaseCheckResult& out) const {
  for (const ManualEjection& earlier : manual_ejections) {
    for (const ManualEjection& later : manual_ejections) {
      if (earlier.version == 0 || later.version == 0 || earlier.returned >= later.invoked) continue;
      const bool is_opposite = earlier.engine == later.engine && earlier.ejected != later.ejected;
      if (later.version > earlier.version || (later.version == earlier.version && !is_opposite)) continue;
      out.violations.push_back("a call for " + later.engine + " at " + later.proxy +
                               " was answered with version " + std::to_string(later.version) +
                               " after one for " + earlier.engine + " had been answered with version " +
                               std::to_string(earlier.version));
    }
  }
}

std::vector<ManualEjection> LeaseHistory::LastManualEjections() const {
  std::vector<ManualEjection> last;
  for (const ManualEjection& ejection : manual_ejections) {
    const bool is_last =
        std::none_of(manual_ejections.begin(), manual_ejections.end(),
                     [&](const ManualEjection& other) {
                       return &other != &ejection && other.engine == ejection.engine &&
                              MayTakeEffectAfter(other, ejection.invoked);
                     }) &&
        std::none_of(operations.begin(), operations.end(), [&](const Operation& operation) {
          return operation.kind == Operation::Kind::kChange && operation.returned > ejection.invoked;
        });
    if (is_last) last.push_back(ejection);
  }
  return last;
}

std::vector<Operation> LeaseHistory::AllOperations() const {
  std::vector<Operation> all = operations;
  for (const auto& [version, id] : change_ids_) {
    const bool known = std::any_of(all.begin(), all.end(),
                                   [&, id = id](const Operation& operation) { return operation.id == id; });
    if (known) continue;
    // The invocation was not observed: it may have been at any time before the commit.
    Operation change;
    change.id = id;
    change.base_version = version - 1;
    change.result = Operation::Result::kCommitted;
    change.version = version;
    change.returned = committed_at_.at(version);
    all.push_back(std::move(change));
  }
  return all;
}

void LeaseHistory::CheckOperations(LeaseCheckResult& out) const {
  switch (CheckLinearizability(AllOperations())) {
    case LinearizabilityResult::kLinearizable:
      break;
    case LinearizabilityResult::kNotLinearizable:
      out.violations.push_back("the operators' calls are not linearizable");
      break;
    case LinearizabilityResult::kStateLimitExceeded:
      out.violations.push_back("there are too many operator calls to check their order");
      break;
  }
}

runtime::Time LeaseHistory::ActivatedByAll(std::uint64_t version,
                                           const std::vector<std::size_t>& processes) const {
  runtime::Time last{};
  for (const std::size_t process : processes) {
    runtime::Time first = runtime::kNever;
    for (const Activation& activation : activations_)
      if (activation.process == process && activation.version >= version)
        first = std::min(first, activation.at);
    last = std::max(last, first);
  }
  return last;
}

}  // namespace lemoncroft::fault_test
