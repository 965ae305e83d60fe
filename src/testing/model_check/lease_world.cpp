#include "testing/model_check/lease_world.h"

#include <algorithm>

namespace lemoncroft::model_check {

using replicated_config::Version;

LeaseWorld::LeaseWorld(const replicated_config::Guards& guards, const LeaseBudget& budget) : left_(budget) {
  terms_.guards = guards;
  for (std::size_t i = 0; i < kHolders; ++i) holders_.emplace_back(terms_);
  for (std::size_t i = 0; i < kLeaders; ++i) leaders_.push_back({replicated_config::Granter(terms_), 0});
  leaders_[0].granter.Begin(At() - 2 * kLeaseBeats * kBeat, reign_);
  leaders_[0].lease_until = 2;
  in_force_at_ = {0};
}

void LeaseWorld::Deliver(const Letter& letter) {
  if (letter.grant) {
    holders_[letter.holder].Take(At(), letter.granted);
    return;
  }
  Leader& leader = leaders_[letter.leader];
  const auto grant = leader.granter.Answer(At(), Leads(letter.leader), std::to_string(letter.holder),
                                           letter.renewal, leader.in_force, leader.newest);
  if (!grant || letters_.size() >= left_.on_their_way) return;
  Letter answer = letter;
  answer.grant = true;
  answer.granted = *grant;
  letters_.push_back(answer);
}

void LeaseWorld::Learn() {
  for (std::size_t i = 0; i < kLeaders; ++i)
    if (Leads(i)) leaders_[i].newest = newest_, leaders_[i].in_force = in_force_;
}

void LeaseWorld::Check() {
  for (std::size_t i = 0; i < kHolders; ++i) {
    const auto version = holders_[i].MayAct(At());
    if (!version || *version >= in_force_) continue;
    if (now_ - in_force_at_[*version + 1] >= kLeaseBeats)
      wrong_ = "a version is acted on a lease after its successor came into force";
  }
}

// One block for each kind of step of the model; not split yet.
// NOLINTNEXTLINE(readability-function-size)
void LeaseWorld::Next(std::vector<LeaseWorld>& into) const {
  const auto fork = [&]() -> LeaseWorld& { return into.emplace_back(*this); };
  if (left_.beats > 0) {
    LeaseWorld& world = fork();
    --world.left_.beats;
    ++world.now_;
    // Without the check at the act it is a timer that tells, and that of a stopped process doesn't run.
    if (terms_.guards.checked_at_act)
      for (replicated_config::Holder& holder : world.holders_) holder.Tick(world.At());
    world.Check();
    // The newest leader reaches a majority, or not.
    if (world.Leads(leader_)) {
      LeaseWorld& renewed = into.emplace_back(into.back());
      renewed.leaders_[leader_].lease_until = renewed.now_ + 2;
    }
  }
  for (std::size_t k = 0; k < letters_.size(); ++k) {
    for (const bool doubled : {false, true}) {
      if (doubled && left_.doubled == 0) continue;
      LeaseWorld& world = fork();
      const Letter letter = letters_[k];
      if (doubled)
        --world.left_.doubled;
      else
        world.letters_.erase(world.letters_.begin() + static_cast<std::ptrdiff_t>(k));
      world.Deliver(letter);
      world.Check();
    }
  }
  for (std::size_t i = 0; i < kHolders; ++i) {
    for (std::size_t leader = 0; leader < kLeaders; ++leader) {
      if (asks_[i] >= left_.asks || letters_.size() >= left_.on_their_way) continue;
      LeaseWorld& world = fork();
      ++world.asks_[i];
      Letter letter;
      letter.holder = i;
      letter.leader = leader;
      letter.renewal = world.holders_[i].Ask(At());
      world.letters_.push_back(letter);
    }
    if (holders_[i].newest() > holders_[i].prepared()) {
      LeaseWorld& world = fork();
      world.holders_[i].Prepared(holders_[i].newest());
      world.Check();
    }
    if (left_.crashes > 0) {
      LeaseWorld& world = fork();
      --world.left_.crashes;
      world.holders_[i] = replicated_config::Holder(terms_);
      std::erase_if(world.letters_, [i](const Letter& letter) { return letter.holder == i; });
    }
  }
  if (Leads(leader_) && left_.versions > 0) {
    LeaseWorld& world = fork();
    --world.left_.versions;
    ++world.newest_;
    world.Learn();
  }
  for (std::size_t leader = 0; leader < kLeaders; ++leader) {
    if (newest_ <= in_force_ || !leaders_[leader].granter.MayEnforce(At(), Leads(leader), newest_)) continue;
    if (!Leads(leader)) continue;  // nobody would commit it
    LeaseWorld& world = fork();
    while (world.in_force_at_.size() <= newest_) world.in_force_at_.push_back(now_);
    world.in_force_ = newest_;
    world.Learn();
    world.Check();
  }
  if (left_.elections > 0 && !Leads(leader_)) {
    LeaseWorld& world = fork();
    --world.left_.elections;
    world.leader_ = 1 - leader_;
    world.leaders_[world.leader_].granter = replicated_config::Granter(terms_);
    world.leaders_[world.leader_].granter.Begin(At(), ++world.reign_);
    world.leaders_[world.leader_].lease_until = now_ + 2;
    world.Learn();
  }
}

std::string LeaseWorld::TextOf(std::size_t holder) const {
  std::string out = holders_[holder].Canonical(At()) + "," + std::to_string(asks_[holder]);
  for (const Leader& leader : leaders_) out += "|" + leader.granter.Canonical(At(), std::to_string(holder));
  return out;
}

std::string LeaseWorld::Canonical() const {
  std::string common;
  for (const int left : {left_.beats, left_.versions, left_.elections, left_.doubled, left_.crashes})
    common += std::to_string(left) + ",";
  common += std::to_string(newest_) + "," + std::to_string(in_force_) + "," + std::to_string(leader_) + ",";
  for (const int at : in_force_at_) common += std::to_string(std::min(now_ - at, kLeaseBeats + 1)) + ",";
  for (const Leader& leader : leaders_)
    common += std::to_string(std::max(0, leader.lease_until - now_)) + "," + std::to_string(leader.newest) +
              "," + std::to_string(leader.in_force) + "," + leader.granter.Canonical(At(), "") + ",";
  std::string least;
  for (const bool swapped : {false, true}) {
    std::string text = common;
    for (std::size_t i = 0; i < kHolders; ++i) text += "#" + TextOf(swapped ? 1 - i : i);
    std::vector<std::string> letters;
    for (const Letter& l : letters_) {
      std::string one = std::to_string(swapped ? 1 - l.holder : l.holder) + std::to_string(l.leader);
      one += l.grant ? "g" + std::to_string(l.granted.number) + "," + std::to_string(l.granted.in_force) +
                           "," + std::to_string(l.granted.newest)
                     : "r" + std::to_string(l.renewal.number) + "," + std::to_string(l.renewal.prepared);
      letters.push_back(std::move(one));
    }
    std::sort(letters.begin(), letters.end());
    for (const std::string& letter : letters) text += "/" + letter;
    if (least.empty() || text < least) least = std::move(text);
  }
  return least;
}

SearchResult SearchLeases(const replicated_config::Guards& guards, const LeaseBudget& budget,
                          std::uint64_t most) {
  return Search(
      LeaseWorld(guards, budget),
      [](const LeaseWorld& world, std::vector<LeaseWorld>& into) { world.Next(into); },
      [](const LeaseWorld& world) { return world.Wrong(); },
      [](const LeaseWorld& world) { return world.Canonical(); }, most);
}

}  // namespace lemoncroft::model_check
