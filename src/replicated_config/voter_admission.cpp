#include "replicated_config/voter_admission.h"

#include <algorithm>
#include <utility>

namespace lemoncroft::replicated_config {

namespace {
constexpr std::size_t kMaxTrackedStores = 64;  // bounds last_empty_store_ids_ and acknowledged_
}

void VoterAdmission::Open(std::uint64_t store_id, BootstrapVoters bootstrap_voters,
                          const std::vector<raft::NodeId>& voters, StoreHello hello) {
  hello_ = hello;
  hello_.store_id = store_id;
  hello_.bootstrapped = !bootstrap_voters.empty();
  bootstrap_voters_ = std::move(bootstrap_voters);
  responses_.clear();
  other_voters_.clear();
  other_voters_.insert(initial_voters_.begin(), initial_voters_.end());
  other_voters_.insert(voters.begin(), voters.end());
  other_voters_.erase(self_);
  state_ = State::kQueryingVoters;
  // Without other voters there is no response to wait for.
  if (hello_.bootstrapped && (voters.empty() || voters == std::vector<raft::NodeId>{self_}))
    state_ = State::kAdmitted;
  if (!hello_.bootstrapped && initial_voters_ == std::vector<raft::NodeId>{self_}) {
    bootstrap_voters_ = {{self_, store_id}};
    state_ = State::kBootstrapping;
  }
}

StoreHelloResponse VoterAdmission::AnswerHello(const raft::NodeId& from, const StoreHello& hello) {
  StoreHelloResponse response;
  response.in_reply_to_store_id = hello.store_id;
  response.store_id = hello_.store_id;
  if (!hello.bootstrapped &&
      (last_empty_store_ids_.contains(from) || last_empty_store_ids_.size() < kMaxTrackedStores)) {
    last_empty_store_ids_[from] = hello.store_id;
    acknowledged_.erase(from);  // these acknowledgements were by another store
  }
  const auto bootstrap = bootstrap_voters_.find(from);
  if (hello.bootstrapped) {
    const auto it = acknowledged_.find(from);
    const bool stale = it != acknowledged_.end() &&
                       (hello.term < it->second.term ||
                        (hello.term == it->second.term && hello.last_index < it->second.match_index));
    response.opinion = stale ? StoreOpinion::kStaleStore : StoreOpinion::kNoObjection;
  } else if (bootstrap_voters_.empty()) {
    response.opinion = StoreOpinion::kResponderNotBootstrapped;
  } else if (bootstrap != bootstrap_voters_.end() && bootstrap->second == hello.store_id) {
    response.opinion = StoreOpinion::kBootstrapVoter;
    response.bootstrap_voters = bootstrap_voters_;
  } else {
    response.opinion = StoreOpinion::kUnknownStore;
  }
  return response;
}

void VoterAdmission::HandleResponse(const raft::NodeId& from, const StoreHelloResponse& response) {
  const bool awaiting_responses =
      state_ && (*state_ == State::kQueryingVoters || *state_ == State::kAwaitingOperator);
  if (!awaiting_responses || response.in_reply_to_store_id != hello_.store_id ||
      !other_voters_.contains(from))
    return;
  responses_[from] = response;
  if (hello_.bootstrapped) {
    if (response.opinion == StoreOpinion::kStaleStore && safety_checks_.exclude_stale_store) {
      state_ = State::kStaleStore;
      return;
    }
    Decide(true);
    return;
  }
  HandleResponseToEmptyStore(response);
}

void VoterAdmission::HandleResponseToEmptyStore(const StoreHelloResponse& response) {
  if (response.opinion == StoreOpinion::kBootstrapVoter) {
    bootstrap_voters_ = response.bootstrap_voters;
    state_ = State::kBootstrapping;
  } else if (response.opinion == StoreOpinion::kUnknownStore) {
    state_ = State::kAwaitingOperator;
    if (!safety_checks_.exclude_empty_store) {
      bootstrap_voters_ = {{self_, hello_.store_id}};
      state_ = State::kBootstrapping;
    }
  } else {
    BootstrapVoters empty_stores = {{self_, hello_.store_id}};
    for (const raft::NodeId& name : initial_voters_) {
      const auto it = responses_.find(name);
      if (it != responses_.end() && it->second.opinion == StoreOpinion::kResponderNotBootstrapped)
        empty_stores[name] = it->second.store_id;
    }
    const bool is_initial_voter =
        std::find(initial_voters_.begin(), initial_voters_.end(), self_) != initial_voters_.end();
    if (is_initial_voter && empty_stores.size() == initial_voters_.size()) {
      bootstrap_voters_ = std::move(empty_stores);
      state_ = State::kBootstrapping;
    }
  }
}

// A single voter may be the only one that knows what this store has acknowledged, so the admission first
// waits for all voters. Later a majority suffices, because two of three voters must be able to continue
// without the third.
void VoterAdmission::Decide(bool wait_for_all) {
  if (!state_ || *state_ != State::kQueryingVoters || !hello_.bootstrapped) return;
  std::size_t without_objection = 0;
  for (const auto& [name, response] : responses_)
    without_objection += response.opinion == StoreOpinion::kNoObjection;
  const std::size_t majority = (other_voters_.size() + 1) / 2 + 1;
  const std::size_t required =
      wait_for_all && safety_checks_.exclude_stale_store ? other_voters_.size() : majority - 1;
  if (without_objection >= required) state_ = State::kAdmitted;
}

void VoterAdmission::HandleAdmitVoter(const AdmitVoter& admission) {
  if (!state_ || hello_.bootstrapped || admission.store_id != hello_.store_id) return;
  if (*state_ != State::kQueryingVoters && *state_ != State::kAwaitingOperator) return;
  bootstrap_voters_ = {{self_, hello_.store_id}};
  state_ = State::kBootstrapping;
}

void VoterAdmission::OnBootstrapVotersPersisted() {
  hello_.bootstrapped = true;
  state_ = State::kAdmitted;
}

void VoterAdmission::ObserveRaftMessage(const raft::NodeId& from, const raft::Message& message) {
  raft::Term term = 0;
  raft::Index match_index = 0;
  if (const auto* appended = std::get_if<raft::AppendEntriesResponse>(&message)) {
    term = appended->term;
    match_index = appended->success ? appended->match_index : 0;
  } else if (const auto* vote = std::get_if<raft::VoteResponse>(&message)) {
    if (vote->pre_vote) return;
    term = vote->term;
  } else if (const auto* append = std::get_if<raft::AppendEntriesRequest>(&message)) {
    term = append->term;
    match_index = append->leader_durable_index;
  } else {
    return;
  }
  Acknowledged& acknowledged = acknowledged_[from];
  if (term > acknowledged.term) acknowledged = {term, 0};
  if (term == acknowledged.term) acknowledged.match_index = std::max(acknowledged.match_index, match_index);
  if (acknowledged_.size() > kMaxTrackedStores) acknowledged_.erase(acknowledged_.begin());
}

std::optional<std::uint64_t> VoterAdmission::LastEmptyStoreId(const raft::NodeId& name) const {
  const auto it = last_empty_store_ids_.find(name);
  return it == last_empty_store_ids_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace lemoncroft::replicated_config
