#include "testing/fault_test/random_trial.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;

namespace {

constexpr Duration kFirstActionAt = 1500ms, kMinActionInterval = 300ms;
constexpr int kActionIntervalRangeMs = 1500;
constexpr int kMinActions = 3, kActionsRange = 4;
constexpr std::size_t kMinLiveProxies = 3;
constexpr double kRequestsPerSecond = 50, kChangesPerSecond = 4;

enum class Subject { kMembership, kReplicatedConfig };

// Each function draws in a fixed order: an additional draw would change the trials of all seeds.
class TrialGenerator {
 public:
  TrialGenerator(std::uint64_t seed, std::size_t proxies, Subject subject) : random_(seed) {
    const bool replicated = subject == Subject::kReplicatedConfig;
    trial_.name = (replicated ? "rules, random " : "random ") + std::to_string(seed);
    if (replicated) {
      trial_.voters = {"n1", "n2", "n3"};
      trial_.changes_per_second = kChangesPerSecond;
    }
    trial_.seed = seed;
    trial_.proxies = proxies;
    trial_.requests_per_second = kRequestsPerSecond;
    for (std::size_t i = 1; i <= proxies; ++i) live_.push_back("n" + std::to_string(i));
  }

  Trial Generate() {
    Duration at = kFirstActionAt;
    const int actions = kMinActions + DrawBelow(kActionsRange);
    for (int i = 0; i < actions; ++i) {
      AddRandomAction(at);
      at += kMinActionInterval + DrawMilliseconds(kActionIntervalRangeMs);
    }
    Add(at, ActionType::kHealLinks);
    Add(at, ActionType::kSetLinkConditions);
    // The voters must be running at the end.
    if (!trial_.voters.empty() && !ended_.empty()) Add(at, ActionType::kStart, ended_);
    std::stable_sort(trial_.actions.begin(), trial_.actions.end(),
                     [](const Action& a, const Action& b) { return a.at < b.at; });
    return trial_;
  }

 private:
  int DrawBelow(int bound) { return static_cast<int>(random_() % static_cast<std::uint64_t>(bound)); }
  std::size_t DrawIndex(std::size_t size) {
    return static_cast<std::size_t>(DrawBelow(static_cast<int>(size)));
  }
  Duration DrawMilliseconds(int bound) { return Duration(1ms) * DrawBelow(bound); }
  std::string DrawLiveProxy() { return live_[DrawIndex(live_.size())]; }

  Action& Add(Duration at, ActionType type, std::vector<std::string> names = {}) {
    Action action;
    action.at = at;
    action.type = type;
    action.names = std::move(names);
    trial_.actions.push_back(std::move(action));
    return trial_.actions.back();
  }

  void AddRandomAction(Duration at) {
    switch (DrawBelow(9)) {
      case 0:
      case 1:
        return AddProcessEnd(at);
      case 2:
        return AddProcessStart(at);
      case 3:
        Add(at, ActionType::kStall, {DrawLiveProxy()}).duration = 200ms + DrawMilliseconds(3000);
        return;
      case 4:
        Add(at, ActionType::kCutLink, {DrawLiveProxy(), DrawLiveProxy()});
        return;
      case 5:
        Add(at, ActionType::kFlapLinks, {DrawLiveProxy(), DrawLiveProxy()}).duration =
            100ms + DrawMilliseconds(300);
        return;
      case 6:
        return AddPartition(at);
      case 7:
        Add(at, ActionType::kHealLinks);
        return;
      default:
        return AddLinkConditions(at);
    }
  }

  void AddProcessEnd(Duration at) {
    if (live_.size() <= kMinLiveProxies) return;
    const std::string name = DrawLiveProxy();
    std::erase(live_, name);
    ended_.push_back(name);
    Add(at, DrawBelow(3) == 0 ? ActionType::kTerminate : ActionType::kKill, {name});
  }

  void AddProcessStart(Duration at) {
    if (ended_.empty()) return;
    Add(at, ActionType::kStart, {ended_.back()});
    live_.push_back(ended_.back());
    ended_.pop_back();
  }

  void AddPartition(Duration at) {
    std::vector<std::string> groups(2 + DrawIndex(2));
    for (std::size_t i = 1; i <= trial_.proxies; ++i) {
      std::string& group = groups[DrawIndex(groups.size())];
      group += (group.empty() ? "n" : " n") + std::to_string(i);
    }
    std::erase_if(groups, [](const std::string& group) { return group.empty(); });
    Add(at, ActionType::kPartition, std::move(groups));
  }

  void AddLinkConditions(Duration at) {
    LinkConditions& conditions = Add(at, ActionType::kSetLinkConditions).link_conditions;
    conditions.loss = 0.01 * DrawBelow(8);
    conditions.duplicate = 0.01 * DrawBelow(10);
    conditions.garble = 0.01 * DrawBelow(5);
    conditions.delay_ms = 1.0 * DrawBelow(10);
    conditions.spread_ms = 1.0 * DrawBelow(20);
  }

  std::mt19937_64 random_;
  Trial trial_;
  std::vector<std::string> live_, ended_;
};

}  // namespace

Trial DrawTrial(std::uint64_t seed, std::size_t proxies) {
  return TrialGenerator(seed, proxies, Subject::kMembership).Generate();
}

Trial DrawReplicatedConfigTrial(std::uint64_t seed, std::size_t proxies) {
  return TrialGenerator(seed, proxies, Subject::kReplicatedConfig).Generate();
}

}  // namespace lemoncroft::fault_test
