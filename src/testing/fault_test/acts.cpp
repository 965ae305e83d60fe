#include "testing/fault_test/acts.h"

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
  return runtime::Time(std::chrono::microseconds(Number(FieldOf(line, "mono_us"))));
}

double Ms(runtime::Span span) { return std::chrono::duration<double, std::milli>(span).count(); }

}  // namespace

std::string FieldOf(std::string_view line, std::string_view name) {
  const std::string key = " " + std::string(name) + "=";
  const std::size_t at = line.find(key);
  if (at == std::string_view::npos) return {};
  const std::size_t from = at + key.size();
  return std::string(line.substr(from, line.find_first_of(" \n", from) - from));
}

void Acts::Hear(std::size_t life, std::string_view line) {
  if (line.find(" rules act=") != std::string_view::npos) {
    acts_.push_back({Stamp(line), life, Number(FieldOf(line, "version")), FieldOf(line, "act") == "kept",
                     FieldOf(line, "engine")});
    return;
  }
  if (line.find(" rules event=in_force") != std::string_view::npos)
    in_force_.push_back({Stamp(line), life, Number(FieldOf(line, "version"))});
  constexpr std::string_view kCommitted = "rules: version ";
  const std::size_t at = line.find(kCommitted), is = line.find(" is committed, change ");
  if (at == std::string_view::npos || is == std::string_view::npos) return;
  const std::uint64_t version = Number(std::string(line.substr(at + kCommitted.size())));
  std::string id(line.substr(is + std::string_view(" is committed, change ").size()));
  id = id.substr(0, id.find(' '));
  newest_ = std::max(newest_, version);
  const auto [it, fresh] = ids_.try_emplace(version, id);
  if (!fresh && it->second != id)
    twice_.push_back("version " + std::to_string(version) + " is " + it->second + " and " + id);
  const auto [known, first] = committed_.try_emplace(id, Stamp(line));
  if (!first) known->second = std::min(known->second, Stamp(line));
  const auto [when, earliest] = committed_at_.try_emplace(version, Stamp(line));
  if (!earliest) when->second = std::min(when->second, Stamp(line));
}

ActsOutcome Acts::Check(runtime::Span stated) const {
  ActsOutcome out;
  out.acts = acts_.size();
  out.broken = twice_;
  std::vector<Act> acts = acts_;
  std::erase_if(acts, [](const Act& act) { return act.kept; });
  std::stable_sort(acts.begin(), acts.end(), [](const Act& a, const Act& b) { return a.at < b.at; });
  // When each life first acted on each version, so far.
  std::map<std::uint64_t, std::map<std::size_t, runtime::Time>> first;
  for (const Act& act : acts) {
    first[act.version].try_emplace(act.by, act.at);
    runtime::Span apart{};
    std::uint64_t other = 0;
    for (auto it = first.upper_bound(act.version); it != first.end(); ++it)
      for (const auto& [life, at] : it->second)
        if (life != act.by && act.at - at > apart) apart = act.at - at, other = it->first;
    out.contradiction_ms = std::max(out.contradiction_ms, Ms(apart));
    if (apart > stated) {
      ++out.stale;
      if (out.stale == 1)
        out.broken.push_back("an act on version " + std::to_string(act.version) + " came " +
                             std::to_string(Ms(apart)) + " ms after one on version " + std::to_string(other));
    }
  }
  for (const ByHand& hand : by_hand) {
    if (!hand.out || hand.version == 0) continue;
    std::uint64_t back = std::numeric_limits<std::uint64_t>::max();
    for (const ByHand& later : by_hand)
      if (!later.out && later.engine == hand.engine && later.version > hand.version)
        back = std::min(back, later.version);
    const auto sent = std::count_if(acts_.begin(), acts_.end(), [&](const Act& act) {
      return act.engine == hand.engine && act.version >= hand.version && act.version < back;
    });
    if (sent > 0)
      out.broken.push_back(std::to_string(sent) + " statements went to " + hand.engine + " by version " +
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
      own.from = version - 1;
      own.end = Operation::End::kTaken;
      own.told = version;
      own.ended = committed_at_.at(version);
      all.push_back(std::move(own));
    }
    const Linear linear = Linearizable(all);
    if (linear == Linear::kNo) out.broken.push_back("the operators' calls are not linearizable");
    if (linear == Linear::kTooLong) out.broken.push_back("the operators' calls are too many to be checked");
  }
  return out;
}

runtime::Time Acts::InForceAtAll(std::uint64_t version, const std::vector<std::size_t>& lives) const {
  runtime::Time last{};
  for (const std::size_t life : lives) {
    runtime::Time own = runtime::kNever;
    for (const InForce& one : in_force_)
      if (one.by == life && one.version >= version) own = std::min(own, one.at);
    last = std::max(last, own);
  }
  return last;
}

}  // namespace lemoncroft::fault_test
