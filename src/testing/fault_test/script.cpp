#include "testing/fault_test/script.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <random>

#include "codec/kdl.h"
#include "operator_config/fields.h"

namespace lemoncroft::fault_test {

using codec::KdlNode;
using codec::KdlValue;
using namespace std::chrono_literals;

namespace {

struct Named {
  const char* name;
  ActionType type;
  int names;  // how many; -1: any
  bool span;  // the last argument is a time
};
constexpr Named kVerbs[] = {{"kill", ActionType::kKill, -1, false},
                            {"term", ActionType::kTerminate, -1, false},
                            {"start", ActionType::kStart, -1, false},
                            {"fresh", ActionType::kStartWithoutState, -1, false},
                            {"upgrade", ActionType::kHotRestart, -1, false},
                            {"duplicate", ActionType::kDuplicate, 1, false},
                            {"stall", ActionType::kStall, 1, true},
                            {"cut", ActionType::kCutLink, 2, false},
                            {"mend", ActionType::kRestoreLink, 2, false},
                            {"flap", ActionType::kFlapLinks, 2, true},
                            {"part", ActionType::kPartition, -1, false},
                            {"heal", ActionType::kHealLinks, 0, false},
                            {"weather", ActionType::kSetLinkConditions, 0, false},
                            {"lie", ActionType::kForgeMembers, 1, false},
                            {"logged", ActionType::kExpectLogged, 2, false},
                            {"propose", ActionType::kPropose, 2, false},
                            {"exclude", ActionType::kEject, 2, false},
                            {"include", ActionType::kUneject, 2, false},
                            {"voter", ActionType::kChangeVoter, 3, false},
                            {"wipe", ActionType::kEraseStore, -1, false},
                            {"flip", ActionType::kCorruptStore, -1, false},
                            {"keep", ActionType::kBackUpStore, -1, false},
                            {"bring", ActionType::kRestoreStore, -1, false}};
constexpr const char* kFigures[] = {"loss", "duplicate", "garble", "delay_ms", "spread_ms", "rate"};
constexpr double kMaxMachines = 200;

const Named* Find(const std::string& name) {
  const auto it = std::find_if(std::begin(kVerbs), std::end(kVerbs),
                               [&](const Named& type) { return name == type.name; });
  return it == std::end(kVerbs) ? nullptr : it;
}

Action ReadAction(const KdlNode& node, Span at, operator_config::Faults& faults) {
  Action action;
  action.at = at;
  const Named* type = Find(node.name);
  if (type == nullptr) {
    faults.Add(node.place, "'" + node.name + "' is no action");
    return action;
  }
  action.type = type->type;
  std::vector<KdlValue> arguments = node.arguments;
  if (type->span) {
    if (arguments.empty() || !operator_config::ParseSpan(arguments.back().text, action.span))
      faults.Add(node.place, node.name + ": its last argument is a time, such as \"500ms\"");
    if (!arguments.empty()) arguments.pop_back();
  }
  for (const KdlValue& value : arguments) action.names.push_back(value.text);
  if (type->names >= 0 && action.names.size() != static_cast<std::size_t>(type->names))
    faults.Add(node.place, node.name + ": takes " + std::to_string(type->names) + " names");
  for (const auto& [name, value] : node.properties) {
    const bool known = std::find(std::begin(kFigures), std::end(kFigures), name) != std::end(kFigures);
    if (!known || type->type != ActionType::kSetLinkConditions)
      faults.Add(value.place, "'" + name + "' is not known here");
    action.figures[name] = value.number;
  }
  return action;
}

Trial ReadTrial(const KdlNode& node, operator_config::Faults& faults) {
  Trial trial;
  KdlNode name = node;
  name.children.clear();
  operator_config::ReadText(name, trial.name, faults);
  std::size_t seed = 1;
  const operator_config::Known known = {
      {"proxies",
       [&](const KdlNode& n) { operator_config::ReadCount(n, kMaxMachines, trial.proxies, faults); }},
      {"machines",
       [&](const KdlNode& n) { operator_config::ReadCount(n, kMaxMachines, trial.machines, faults); }},
      {"period", [&](const KdlNode& n) { operator_config::ReadSpan(n, 50ms, 10s, trial.period, faults); }},
      {"remember", [&](const KdlNode& n) { operator_config::ReadSpan(n, 1s, 1h, trial.remember, faults); }},
      {"settle", [&](const KdlNode& n) { operator_config::ReadNumber(n, 1, 1000, trial.settle, faults); }},
      {"seed", [&](const KdlNode& n) { operator_config::ReadCount(n, 1e15, seed, faults); }},
      {"busy", [&](const KdlNode& n) { operator_config::ReadFlag(n, trial.busy, faults); }},
      {"load", [&](const KdlNode& n) { operator_config::ReadNumber(n, 0, 2000, trial.load, faults); }},
      {"changes", [&](const KdlNode& n) { operator_config::ReadNumber(n, 0, 20, trial.changes, faults); }},
      {"lost", [&](const KdlNode& n) { operator_config::ReadFlag(n, trial.lost, faults); }},
      {"files", [&](const KdlNode& n) { operator_config::ReadFlag(n, trial.files, faults); }},
      {"jumps", [&](const KdlNode& n) { operator_config::ReadFlag(n, trial.jumps, faults); }},
      {"each-once", [&](const KdlNode& n) { operator_config::ReadFlag(n, trial.each_once, faults); }},
      {"voters",
       [&](const KdlNode& n) {
         for (const KdlValue& value : n.arguments) trial.voters.push_back(value.text);
       }},
      {"seeds",
       [&](const KdlNode& n) {
         trial.seeds.clear();
         for (const KdlValue& value : n.arguments) trial.seeds.push_back(value.text);
       }},
      {"at",
       [&](const KdlNode& n) {
         Span at{};
         if (n.arguments.size() != 1 || !operator_config::ParseSpan(n.arguments[0].text, at))
           return faults.Add(n.place, "at: expected a time, such as \"2s\"");
         for (const KdlNode& child : n.children) trial.actions.push_back(ReadAction(child, at, faults));
       }},
  };
  operator_config::ReadBlock(node.children, known, {"at"}, faults);
  trial.seed = seed;
  std::stable_sort(trial.actions.begin(), trial.actions.end(),
                   [](const Action& a, const Action& b) { return a.at < b.at; });
  return trial;
}

std::string Ms(Span span) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) + "ms";
}

// Draws what can be without a fault that no one could tell from a crash: at the end all is healed.
class Draw {
 public:
  Draw(std::uint64_t seed, std::size_t proxies, bool rules) : random_(seed) {
    trial_.name = (rules ? "rules, random " : "random ") + std::to_string(seed);
    if (rules) {
      trial_.voters = {"n1", "n2", "n3"};
      trial_.changes = 4;
    }
    trial_.seed = seed;
    trial_.proxies = proxies;
    trial_.load = 50;
    for (std::size_t i = 1; i <= proxies; ++i) living_.push_back("n" + std::to_string(i));
  }

  Trial Take() {
    Span at = 1500ms;
    const int acts = 3 + Below(4);
    for (int i = 0; i < acts; ++i) {
      One(at);
      at += 300ms + Span(1ms) * Below(1500);
    }
    Put(at, ActionType::kHealLinks);
    Put(at, ActionType::kSetLinkConditions);
    if (!trial_.voters.empty() && !gone_.empty())
      Put(at, ActionType::kStart, gone_);  // the voters are needed
    std::stable_sort(trial_.actions.begin(), trial_.actions.end(),
                     [](const Action& a, const Action& b) { return a.at < b.at; });
    return trial_;
  }

 private:
  int Below(int bound) { return static_cast<int>(random_() % static_cast<std::uint64_t>(bound)); }
  Action& Put(Span at, ActionType type, std::vector<std::string> names = {}) {
    Action action;
    action.at = at;
    action.type = type;
    action.names = std::move(names);
    trial_.actions.push_back(std::move(action));
    return trial_.actions.back();
  }
  std::string Any() { return living_[static_cast<std::size_t>(Below(static_cast<int>(living_.size())))]; }

  void One(Span at) {
    switch (Below(9)) {
      case 0:
      case 1:
        if (living_.size() > 3) {
          const std::string name = Any();
          std::erase(living_, name);
          gone_.push_back(name);
          Put(at, Below(3) == 0 ? ActionType::kTerminate : ActionType::kKill, {name});
        }
        break;
      case 2:
        if (!gone_.empty()) {
          Put(at, ActionType::kStart, {gone_.back()});
          living_.push_back(gone_.back());
          gone_.pop_back();
        }
        break;
      case 3:
        Put(at, ActionType::kStall, {Any()}).span = 200ms + Span(1ms) * Below(3000);
        break;
      case 4:
        Put(at, ActionType::kCutLink, {Any(), Any()});
        break;
      case 5:
        Put(at, ActionType::kFlapLinks, {Any(), Any()}).span = 100ms + Span(1ms) * Below(300);
        break;
      case 6: {
        std::vector<std::string> groups(2 + static_cast<std::size_t>(Below(2)));
        for (std::size_t i = 1; i <= trial_.proxies; ++i) {
          std::string& group = groups[static_cast<std::size_t>(Below(static_cast<int>(groups.size())))];
          group += (group.empty() ? "n" : " n") + std::to_string(i);
        }
        std::erase_if(groups, [](const std::string& g) { return g.empty(); });
        Put(at, ActionType::kPartition, std::move(groups));
        break;
      }
      case 7:
        Put(at, ActionType::kHealLinks);
        break;
      default: {
        Action& weather = Put(at, ActionType::kSetLinkConditions);
        weather.figures = {{"loss", 0.01 * Below(8)},
                           {"duplicate", 0.01 * Below(10)},
                           {"garble", 0.01 * Below(5)},
                           {"delay_ms", 1.0 * Below(10)},
                           {"spread_ms", 1.0 * Below(20)}};
      }
    }
  }

  std::mt19937_64 random_;
  Trial trial_;
  std::vector<std::string> living_, gone_;
};

}  // namespace

std::vector<Trial> ReadTrials(const std::string& path, std::string_view text) {
  operator_config::Faults faults;
  std::vector<Trial> trials;
  try {
    for (const KdlNode& node : codec::ReadKdl(text)) {
      if (node.name == "trial")
        trials.push_back(ReadTrial(node, faults));
      else
        faults.Add(node.place, "expected trial");
    }
  } catch (const codec::KdlError& e) {
    throw ScriptError(path + ": " + e.what());
  }
  if (!faults.all().empty()) throw ScriptError(operator_config::OperatorError(path, faults.all()).what());
  return trials;
}

std::string WriteTrial(const Trial& trial) {
  std::string out = "trial \"" + trial.name + "\" {\n";
  out += "  proxies " + std::to_string(trial.proxies) + "\n  period \"" + Ms(trial.period) + "\"\n";
  out += "  settle " + std::to_string(static_cast<int>(trial.settle)) + "\n";
  out += "  seed " + std::to_string(trial.seed) + "\n";
  if (trial.load > 0) out += "  load " + std::to_string(static_cast<int>(trial.load)) + "\n";
  if (trial.busy) out += "  busy #true\n";
  if (trial.changes > 0) out += "  changes " + std::to_string(static_cast<int>(trial.changes)) + "\n";
  if (!trial.voters.empty()) {
    out += "  voters";
    for (const std::string& voter : trial.voters) out += " \"" + voter + "\"";
    out += "\n";
  }
  out += "  seeds";
  for (const std::string& seed : trial.seeds) out += " \"" + seed + "\"";
  out += "\n";
  for (const Action& action : trial.actions) {
    const Named* type = std::find_if(std::begin(kVerbs), std::end(kVerbs),
                                     [&](const Named& v) { return v.type == action.type; });
    out += "  at \"" + Ms(action.at) + "\" { " + type->name;
    for (const std::string& name : action.names) out += " \"" + name + "\"";
    if (type->span) out += " \"" + Ms(action.span) + "\"";
    for (const auto& [name, value] : action.figures) {
      char figure[64];
      std::snprintf(figure, sizeof figure, " %s=%g", name.c_str(), value);
      out += figure;
    }
    out += " }\n";
  }
  return out + "}\n";
}

Trial DrawTrial(std::uint64_t seed, std::size_t proxies) { return Draw(seed, proxies, false).Take(); }
Trial DrawRulesTrial(std::uint64_t seed, std::size_t proxies) { return Draw(seed, proxies, true).Take(); }

}  // namespace lemoncroft::fault_test
