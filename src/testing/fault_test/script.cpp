#include "testing/fault_test/script.h"

#include <algorithm>
#include <cstdio>
#include <iterator>

#include "codec/kdl.h"
#include "operator_config/fields.h"

namespace lemoncroft::fault_test {

using codec::KdlNode;
using codec::KdlValue;
using namespace std::chrono_literals;

namespace {

// ---- The words of the language ----

constexpr const char* kTrialWord = "trial";
constexpr const char* kActionsWord = "at";
constexpr const char* kProxiesWord = "proxies";
constexpr const char* kMachinesWord = "machines";
constexpr const char* kGossipPeriodWord = "period";
constexpr const char* kDeadMemberRetentionWord = "remember";
constexpr const char* kSeedProxiesWord = "seeds";
constexpr const char* kSettlePeriodsWord = "settle";
constexpr const char* kSeedWord = "seed";
constexpr const char* kFloodReadinessQueriesWord = "busy";
constexpr const char* kRequestsPerSecondWord = "load";
constexpr const char* kVotersWord = "voters";
constexpr const char* kChangesPerSecondWord = "changes";
constexpr const char* kVotersLostWord = "lost";
constexpr const char* kWallClocksJumpWord = "jumps";
constexpr const char* kRollOutFilesWord = "files";
constexpr const char* kMeasureEachChangeWord = "each-once";

constexpr int kAnyNumber = -1;
enum class LastArgument { kName, kDuration };

struct ActionWord {
  const char* word = nullptr;
  ActionType type = ActionType::kKill;
  int names = 0;  // number of names, or kAnyNumber
  LastArgument last = LastArgument::kName;
};
constexpr ActionWord kActionWords[] = {
    {"kill", ActionType::kKill, kAnyNumber},
    {"term", ActionType::kTerminate, kAnyNumber},
    {"start", ActionType::kStart, kAnyNumber},
    {"fresh", ActionType::kStartWithoutState, kAnyNumber},
    {"upgrade", ActionType::kHotRestart, kAnyNumber},
    {"duplicate", ActionType::kDuplicate, 1},
    {"stall", ActionType::kStall, 1, LastArgument::kDuration},
    {"cut", ActionType::kCutLink, 2},
    {"mend", ActionType::kRestoreLink, 2},
    {"flap", ActionType::kFlapLinks, 2, LastArgument::kDuration},
    {"part", ActionType::kPartition, kAnyNumber},
    {"heal", ActionType::kHealLinks, 0},
    {"weather", ActionType::kSetLinkConditions, 0},
    {"lie", ActionType::kForgeMembers, 1},
    {"logged", ActionType::kExpectLogged, 2},
    {"propose", ActionType::kPropose, 2},
    {"exclude", ActionType::kEject, 2},
    {"include", ActionType::kUneject, 2},
    {"voter", ActionType::kChangeVoter, 3},
    {"wipe", ActionType::kEraseStore, kAnyNumber},
    {"flip", ActionType::kCorruptStore, kAnyNumber},
    {"keep", ActionType::kBackUpStore, kAnyNumber},
    {"bring", ActionType::kRestoreStore, kAnyNumber},
};

// Sorted by word, which is the order of output.
struct LinkConditionWord {
  const char* word;
  std::optional<double> LinkConditions::*condition;
};
constexpr LinkConditionWord kLinkConditionWords[] = {
    {"delay_ms", &LinkConditions::delay_ms}, {"duplicate", &LinkConditions::duplicate},
    {"garble", &LinkConditions::garble},     {"loss", &LinkConditions::loss},
    {"rate", &LinkConditions::rate},         {"spread_ms", &LinkConditions::spread_ms},
};

constexpr double kMaxMachines = 200, kMaxSeed = 1e15;
constexpr double kMinSettlePeriods = 1, kMaxSettlePeriods = 1000;
constexpr double kMaxRequestsPerSecond = 2000, kMaxChangesPerSecond = 20;
constexpr Duration kMinGossipPeriod = 50ms, kMaxGossipPeriod = 10s;
constexpr Duration kMinRetention = 1s, kMaxRetention = 1h;

const ActionWord* FindAction(const std::string& word) {
  const auto it = std::find_if(std::begin(kActionWords), std::end(kActionWords),
                               [&](const ActionWord& action) { return word == action.word; });
  return it == std::end(kActionWords) ? nullptr : it;
}

const ActionWord& WordOf(ActionType type) {
  return *std::find_if(std::begin(kActionWords), std::end(kActionWords),
                       [&](const ActionWord& action) { return type == action.type; });
}

const LinkConditionWord* FindLinkCondition(const std::string& word) {
  const auto it = std::find_if(std::begin(kLinkConditionWords), std::end(kLinkConditionWords),
                               [&](const LinkConditionWord& condition) { return word == condition.word; });
  return it == std::end(kLinkConditionWords) ? nullptr : it;
}

// ---- Reading ----

void ReadLinkConditions(const KdlNode& node, Action& action, operator_config::Faults& faults) {
  for (const auto& [name, value] : node.properties) {
    const LinkConditionWord* word = FindLinkCondition(name);
    if (word == nullptr || action.type != ActionType::kSetLinkConditions)
      faults.Add(value.position, "'" + name + "' is not known here");
    else
      action.link_conditions.*word->condition = value.number;
  }
}

Action ReadAction(const KdlNode& node, Duration at, operator_config::Faults& faults) {
  Action action;
  action.at = at;
  const ActionWord* word = FindAction(node.name);
  if (word == nullptr) {
    faults.Add(node.position, "'" + node.name + "' is not an action");
    return action;
  }
  action.type = word->type;
  std::vector<KdlValue> arguments = node.arguments;
  if (word->last == LastArgument::kDuration) {
    if (arguments.empty() || !operator_config::ParseDuration(arguments.back().text, action.duration))
      faults.Add(node.position, node.name + ": the last argument must be a time, such as \"500ms\"");
    if (!arguments.empty()) arguments.pop_back();
  }
  for (const KdlValue& value : arguments) action.names.push_back(value.text);
  if (word->names != kAnyNumber && action.names.size() != static_cast<std::size_t>(word->names))
    faults.Add(node.position, node.name + ": expected " + std::to_string(word->names) + " name(s)");
  ReadLinkConditions(node, action, faults);
  return action;
}

void ReadActions(const KdlNode& node, std::vector<Action>& actions, operator_config::Faults& faults) {
  Duration at{};
  if (node.arguments.size() != 1 || !operator_config::ParseDuration(node.arguments[0].text, at))
    return faults.Add(node.position, "at: expected a time, such as \"2s\"");
  for (const KdlNode& child : node.children) actions.push_back(ReadAction(child, at, faults));
}

void AppendNames(const KdlNode& node, std::vector<std::string>& names) {
  for (const KdlValue& value : node.arguments) names.push_back(value.text);
}

Trial ReadTrial(const KdlNode& node, operator_config::Faults& faults) {
  using operator_config::ReadCount;
  using operator_config::ReadDuration;
  using operator_config::ReadFlag;
  using operator_config::ReadNumber;
  Trial trial;
  KdlNode name = node;
  name.children.clear();
  operator_config::ReadText(name, trial.name, faults);
  std::size_t seed = 1;
  const auto count = [&](double max, std::size_t& out) {
    return [&faults, &out, max](const KdlNode& n) { ReadCount(n, max, out, faults); };
  };
  const auto number = [&](double min, double max, double& out) {
    return [&faults, &out, min, max](const KdlNode& n) { ReadNumber(n, min, max, out, faults); };
  };
  const auto span = [&](Duration min, Duration max, Duration& out) {
    return [&faults, &out, min, max](const KdlNode& n) { ReadDuration(n, min, max, out, faults); };
  };
  const auto flag = [&](bool& out) {
    return [&faults, &out](const KdlNode& n) { ReadFlag(n, out, faults); };
  };
  const operator_config::NodeReaders known = {
      {kProxiesWord, count(kMaxMachines, trial.proxies)},
      {kMachinesWord, count(kMaxMachines, trial.machines)},
      {kGossipPeriodWord, span(kMinGossipPeriod, kMaxGossipPeriod, trial.gossip_period)},
      {kDeadMemberRetentionWord, span(kMinRetention, kMaxRetention, trial.dead_member_retention)},
      {kSettlePeriodsWord, number(kMinSettlePeriods, kMaxSettlePeriods, trial.settle_periods)},
      {kSeedWord, count(kMaxSeed, seed)},
      {kFloodReadinessQueriesWord, flag(trial.flood_readiness_queries)},
      {kRequestsPerSecondWord, number(0, kMaxRequestsPerSecond, trial.requests_per_second)},
      {kChangesPerSecondWord, number(0, kMaxChangesPerSecond, trial.changes_per_second)},
      {kVotersLostWord, flag(trial.voters_lost)},
      {kRollOutFilesWord, flag(trial.roll_out_files)},
      {kWallClocksJumpWord, flag(trial.wall_clocks_jump)},
      {kMeasureEachChangeWord, flag(trial.measure_each_change)},
      {kVotersWord, [&](const KdlNode& n) { AppendNames(n, trial.voters); }},
      {kSeedProxiesWord,
       [&](const KdlNode& n) {
         trial.seed_proxies.clear();
         AppendNames(n, trial.seed_proxies);
       }},
      {kActionsWord, [&](const KdlNode& n) { ReadActions(n, trial.actions, faults); }},
  };
  operator_config::ReadBlock(node.children, known, {kActionsWord}, faults);
  trial.seed = seed;
  std::stable_sort(trial.actions.begin(), trial.actions.end(),
                   [](const Action& a, const Action& b) { return a.at < b.at; });
  return trial;
}

// ---- Writing ----

std::string FormatMilliseconds(Duration span) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) + "ms";
}

std::string Quoted(const std::string& text) { return " \"" + text + "\""; }

std::string Line(const char* word, const std::string& value) {
  return std::string("  ") + word + " " + value + "\n";
}

std::string Line(const char* word, const std::vector<std::string>& names) {
  std::string out = std::string("  ") + word;
  for (const std::string& name : names) out += Quoted(name);
  return out + "\n";
}

std::string WholeNumber(double value) { return std::to_string(static_cast<int>(value)); }

std::string WriteAction(const Action& action) {
  const ActionWord& word = WordOf(action.type);
  std::string out =
      std::string("  ") + kActionsWord + Quoted(FormatMilliseconds(action.at)) + " { " + word.word;
  for (const std::string& name : action.names) out += Quoted(name);
  if (word.last == LastArgument::kDuration) out += Quoted(FormatMilliseconds(action.duration));
  for (const LinkConditionWord& condition : kLinkConditionWords) {
    const std::optional<double>& value = action.link_conditions.*condition.condition;
    if (!value) continue;
    char text[64];
    std::snprintf(text, sizeof text, " %s=%g", condition.word, *value);
    out += text;
  }
  return out + " }\n";
}

}  // namespace

std::vector<Trial> ReadTrials(const std::string& path, std::string_view text) {
  operator_config::Faults faults;
  std::vector<Trial> trials;
  try {
    for (const KdlNode& node : codec::ParseKdl(text)) {
      if (node.name == kTrialWord)
        trials.push_back(ReadTrial(node, faults));
      else
        faults.Add(node.position, "expected a trial");
    }
  } catch (const codec::KdlError& e) {
    throw ScriptError(path + ": " + e.what());
  }
  if (!faults.all().empty()) throw ScriptError(operator_config::OperatorError(path, faults.all()).what());
  return trials;
}

std::string WriteTrial(const Trial& trial) {
  std::string out = kTrialWord + Quoted(trial.name) + " {\n";
  out += Line(kProxiesWord, std::to_string(trial.proxies));
  out += Line(kGossipPeriodWord, std::vector{FormatMilliseconds(trial.gossip_period)});
  out += Line(kSettlePeriodsWord, WholeNumber(trial.settle_periods));
  out += Line(kSeedWord, std::to_string(trial.seed));
  if (trial.requests_per_second > 0)
    out += Line(kRequestsPerSecondWord, WholeNumber(trial.requests_per_second));
  if (trial.flood_readiness_queries) out += Line(kFloodReadinessQueriesWord, "#true");
  if (trial.changes_per_second > 0) out += Line(kChangesPerSecondWord, WholeNumber(trial.changes_per_second));
  if (!trial.voters.empty()) out += Line(kVotersWord, trial.voters);
  out += Line(kSeedProxiesWord, trial.seed_proxies);
  for (const Action& action : trial.actions) out += WriteAction(action);
  return out + "}\n";
}

}  // namespace lemoncroft::fault_test
