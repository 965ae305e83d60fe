#include "testing/model_check/lease_world.h"

#include <algorithm>

namespace lemoncroft::model_check {

using replicated_config::Version;

LeaseWorld::LeaseWorld(const replicated_config::LeaseSafetyChecks& safety_checks, const LeaseBudget& budget)
    : remaining_budget_(budget) {
  options_.safety_checks = safety_checks;
  for (std::size_t i = 0; i < kHolders; ++i) holders_.emplace_back(options_);
  for (std::size_t i = 0; i < kLeaders; ++i)
    leaders_.push_back({replicated_config::LeaseGrantor(options_), 0});
  leaders_[0].grantor.BeginLeadership(Now() - 2 * kLeaseTicks * kTick, leadership_epoch_);
  leaders_[0].lease_until = 2;
  activated_at_ = {0};
}

void LeaseWorld::Deliver(const InTransitMessage& message) {
  if (message.grant) {
    holders_[message.holder].HandleGrant(Now(), message.granted);
    return;
  }
  Leader& leader = leaders_[message.leader];
  const auto grant =
      leader.grantor.HandleRenewal(Now(), Leads(message.leader), std::to_string(message.holder),
                                   message.renewal, leader.active_version, leader.latest_version);
  if (!grant || messages_.size() >= remaining_budget_.max_in_flight) return;
  InTransitMessage response = message;
  response.grant = true;
  response.granted = *grant;
  messages_.push_back(response);
}

void LeaseWorld::UpdateLeaders() {
  for (std::size_t i = 0; i < kLeaders; ++i)
    if (Leads(i)) leaders_[i].latest_version = latest_version_, leaders_[i].active_version = active_version_;
}

void LeaseWorld::Check() {
  for (std::size_t i = 0; i < kHolders; ++i) {
    const auto version = holders_[i].UsableVersion(Now());
    if (!version || *version >= active_version_) continue;
    if (now_ - activated_at_[*version + 1] >= kLeaseTicks)
      violation_ = "a holder acts on a version a lease after the successor of the version was activated";
  }
}

// Contains one block for each kind of step of the model.
// NOLINTNEXTLINE(readability-function-size)
void LeaseWorld::AppendSuccessors(std::vector<LeaseWorld>& successors) const {
  const auto add_successor = [&]() -> LeaseWorld& { return successors.emplace_back(*this); };
  if (remaining_budget_.ticks > 0) {
    LeaseWorld& world = add_successor();
    --world.remaining_budget_.ticks;
    ++world.now_;
    // With check_expiry_on_use disabled, a timer marks expiry; the timer of a stopped process does not run.
    if (options_.safety_checks.check_expiry_on_use)
      for (replicated_config::LeaseHolder& holder : world.holders_) holder.Tick(world.Now());
    world.Check();
    // The newest leader may or may not reach a majority and renew its own lease.
    if (world.Leads(leader_)) {
      LeaseWorld& renewed = successors.emplace_back(successors.back());
      renewed.leaders_[leader_].lease_until = renewed.now_ + 2;
    }
  }
  for (std::size_t k = 0; k < messages_.size(); ++k) {
    for (const bool duplicates : {false, true}) {
      if (duplicates && remaining_budget_.duplicates == 0) continue;
      LeaseWorld& world = add_successor();
      const InTransitMessage message = messages_[k];
      if (duplicates)
        --world.remaining_budget_.duplicates;
      else
        world.messages_.erase(world.messages_.begin() + static_cast<std::ptrdiff_t>(k));
      world.Deliver(message);
      world.Check();
    }
  }
  for (std::size_t i = 0; i < kHolders; ++i) {
    for (std::size_t leader = 0; leader < kLeaders; ++leader) {
      if (renewals_[i] >= remaining_budget_.renewals || messages_.size() >= remaining_budget_.max_in_flight)
        continue;
      LeaseWorld& world = add_successor();
      ++world.renewals_[i];
      InTransitMessage message;
      message.holder = i;
      message.leader = leader;
      message.renewal = world.holders_[i].RequestRenewal(Now());
      world.messages_.push_back(message);
    }
    if (holders_[i].latest_version() > holders_[i].prepared_version()) {
      LeaseWorld& world = add_successor();
      world.holders_[i].MarkPrepared(holders_[i].latest_version());
      world.Check();
    }
    if (remaining_budget_.crashes > 0) {
      LeaseWorld& world = add_successor();
      --world.remaining_budget_.crashes;
      world.holders_[i] = replicated_config::LeaseHolder(options_);
      std::erase_if(world.messages_, [i](const InTransitMessage& message) { return message.holder == i; });
    }
  }
  if (Leads(leader_) && remaining_budget_.versions > 0) {
    LeaseWorld& world = add_successor();
    --world.remaining_budget_.versions;
    ++world.latest_version_;
    world.UpdateLeaders();
  }
  for (std::size_t leader = 0; leader < kLeaders; ++leader) {
    if (latest_version_ <= active_version_ ||
        !leaders_[leader].grantor.MayActivate(Now(), Leads(leader), latest_version_))
      continue;
    if (!Leads(leader)) continue;  // the activation could not be committed
    LeaseWorld& world = add_successor();
    while (world.activated_at_.size() <= latest_version_) world.activated_at_.push_back(now_);
    world.active_version_ = latest_version_;
    world.UpdateLeaders();
    world.Check();
  }
  if (remaining_budget_.elections > 0 && !Leads(leader_)) {
    LeaseWorld& world = add_successor();
    --world.remaining_budget_.elections;
    world.leader_ = 1 - leader_;
    world.leaders_[world.leader_].grantor = replicated_config::LeaseGrantor(options_);
    world.leaders_[world.leader_].grantor.BeginLeadership(Now(), ++world.leadership_epoch_);
    world.leaders_[world.leader_].lease_until = now_ + 2;
    world.UpdateLeaders();
  }
}

std::string LeaseWorld::TextOf(std::size_t holder) const {
  std::string out = holders_[holder].CanonicalState(Now()) + "," + std::to_string(renewals_[holder]);
  for (const Leader& leader : leaders_)
    out += "|" + leader.grantor.CanonicalState(Now(), std::to_string(holder));
  return out;
}

std::string LeaseWorld::Canonical() const {
  std::string common;
  for (const int remaining :
       {remaining_budget_.ticks, remaining_budget_.versions, remaining_budget_.elections,
        remaining_budget_.duplicates, remaining_budget_.crashes})
    common += std::to_string(remaining) + ",";
  common += std::to_string(latest_version_) + "," + std::to_string(active_version_) + "," +
            std::to_string(leader_) + ",";
  for (const int at : activated_at_) common += std::to_string(std::min(now_ - at, kLeaseTicks + 1)) + ",";
  for (const Leader& leader : leaders_)
    common += std::to_string(std::max(0, leader.lease_until - now_)) + "," +
              std::to_string(leader.latest_version) + "," + std::to_string(leader.active_version) + "," +
              leader.grantor.CanonicalState(Now(), "") + ",";
  std::string smallest;
  for (const bool swapped : {false, true}) {
    std::string text = common;
    for (std::size_t i = 0; i < kHolders; ++i) text += "#" + TextOf(swapped ? 1 - i : i);
    std::vector<std::string> messages;
    for (const InTransitMessage& message : messages_) {
      std::string message_text =
          std::to_string(swapped ? 1 - message.holder : message.holder) + std::to_string(message.leader);
      message_text += message.grant ? "g" + std::to_string(message.granted.sequence) + "," +
                                          std::to_string(message.granted.active_version) + "," +
                                          std::to_string(message.granted.latest_version)
                                    : "r" + std::to_string(message.renewal.sequence) + "," +
                                          std::to_string(message.renewal.prepared_version);
      messages.push_back(std::move(message_text));
    }
    std::sort(messages.begin(), messages.end());
    for (const std::string& message : messages) text += "/" + message;
    if (smallest.empty() || text < smallest) smallest = std::move(text);
  }
  return smallest;
}

SearchResult SearchLeases(const replicated_config::LeaseSafetyChecks& safety_checks,
                          const LeaseBudget& budget, std::uint64_t max_states) {
  return Search(
      LeaseWorld(safety_checks, budget),
      [](const LeaseWorld& world, std::vector<LeaseWorld>& successors) {
        world.AppendSuccessors(successors);
      },
      [](const LeaseWorld& world) { return world.Violation(); },
      [](const LeaseWorld& world) { return world.Canonical(); }, max_states);
}

}  // namespace lemoncroft::model_check
