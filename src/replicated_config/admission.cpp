#include "replicated_config/admission.h"

#include <algorithm>
#include <utility>

namespace lemoncroft::replicated_config {

namespace {
constexpr std::size_t kStoresMost = 64;  // of voters that wait to be let in
}

void Admission::Open(std::uint64_t store, Founders founders, const std::vector<raft::NodeId>& voters,
                     Hello hello) {
  hello_ = hello;
  hello_.store = store;
  hello_.founded = !founders.empty();
  founders_ = std::move(founders);
  answers_.clear();
  others_.clear();
  others_.insert(first_.begin(), first_.end());
  others_.insert(voters.begin(), voters.end());
  others_.erase(self_);
  state_ = State::kAsking;
  // Nobody else could know better.
  if (hello_.founded && (voters.empty() || voters == std::vector<raft::NodeId>{self_})) state_ = State::kGood;
  if (!hello_.founded && first_ == std::vector<raft::NodeId>{self_}) {
    founders_ = {{self_, store}};
    state_ = State::kFounding;
  }
}

HelloAnswer Admission::Greet(const raft::NodeId& from, const Hello& hello) {
  HelloAnswer answer;
  answer.to_store = hello.store;
  answer.store = hello_.store;
  if (!hello.founded && (stores_.contains(from) || stores_.size() < kStoresMost)) {
    stores_[from] = hello.store;
    remembered_.erase(from);  // that was of another store
  }
  const auto founder = founders_.find(from);
  if (hello.founded) {
    const auto it = remembered_.find(from);
    const bool older =
        it != remembered_.end() &&
        (hello.term < it->second.term || (hello.term == it->second.term && hello.last < it->second.match));
    answer.welcome = older ? Welcome::kOlder : Welcome::kFine;
  } else if (founders_.empty()) {
    answer.welcome = Welcome::kBlank;
  } else if (founder != founders_.end() && founder->second == hello.store) {
    answer.welcome = Welcome::kFounded;
    answer.founders = founders_;
  } else {
    answer.welcome = Welcome::kStranger;
  }
  return answer;
}

void Admission::Take(const raft::NodeId& from, const HelloAnswer& answer) {
  const bool asks = state_ && (*state_ == State::kAsking || *state_ == State::kBlank);
  if (!asks || answer.to_store != hello_.store || !others_.contains(from)) return;
  answers_[from] = answer;
  if (hello_.founded) {
    if (answer.welcome == Welcome::kOlder && guards_.older_stays_out) {
      state_ = State::kOlder;
      return;
    }
    Decide(true);
    return;
  }
  if (answer.welcome == Welcome::kFounded) {
    founders_ = answer.founders;
    state_ = State::kFounding;
  } else if (answer.welcome == Welcome::kStranger) {
    state_ = State::kBlank;
    if (!guards_.blank_stays_out) {
      founders_ = {{self_, hello_.store}};
      state_ = State::kFounding;
    }
  } else {
    Founders all = {{self_, hello_.store}};
    for (const raft::NodeId& name : first_) {
      const auto it = answers_.find(name);
      if (it != answers_.end() && it->second.welcome == Welcome::kBlank) all[name] = it->second.store;
    }
    const bool one_of = std::find(first_.begin(), first_.end(), self_) != first_.end();
    if (one_of && all.size() == first_.size()) {
      founders_ = std::move(all);
      state_ = State::kFounding;
    }
  }
}

// Any one of the others may be the only one that knows what it answered for, so all are waited for a while.
// Those that can't be reached can't be waited for longer: two of three must go on without the third.
void Admission::Decide(bool patient) {
  if (!state_ || *state_ != State::kAsking || !hello_.founded) return;
  std::size_t fine = 0;
  for (const auto& [name, one] : answers_) fine += one.welcome == Welcome::kFine;
  const std::size_t majority = (others_.size() + 1) / 2 + 1;
  const std::size_t wanted = patient && guards_.older_stays_out ? others_.size() : majority - 1;
  if (fine >= wanted) state_ = State::kGood;
}

void Admission::TakeInvitation(const Invite& invite) {
  if (!state_ || hello_.founded || invite.store != hello_.store) return;
  if (*state_ != State::kAsking && *state_ != State::kBlank) return;
  founders_ = {{self_, hello_.store}};
  state_ = State::kFounding;
}

void Admission::Kept() {
  hello_.founded = true;
  state_ = State::kGood;
}

void Admission::Note(const raft::NodeId& from, const raft::Message& message) {
  raft::Term term = 0;
  raft::Index match = 0;
  if (const auto* answer = std::get_if<raft::AppendEntriesResponse>(&message)) {
    term = answer->term;
    match = answer->success ? answer->match_index : 0;
  } else if (const auto* vote = std::get_if<raft::VoteResponse>(&message)) {
    if (vote->pre_vote) return;
    term = vote->term;
  } else if (const auto* append = std::get_if<raft::AppendEntriesRequest>(&message)) {
    term = append->term;
    match = append->leader_durable_index;
  } else {
    return;
  }
  Remembered& known = remembered_[from];
  if (term > known.term) known = {term, 0};
  if (term == known.term) known.match = std::max(known.match, match);
  if (remembered_.size() > kStoresMost) remembered_.erase(remembered_.begin());
}

std::optional<std::uint64_t> Admission::StoreOf(const raft::NodeId& name) const {
  const auto it = stores_.find(name);
  return it == stores_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace lemoncroft::replicated_config
