// Raft membership changes, one voter at a time.
#include <algorithm>
#include <utility>

#include "raft/raft.h"

namespace lemoncroft::raft {

bool Raft::IsVoter() const { return std::find(voters_.begin(), voters_.end(), self_) != voters_.end(); }

// Sets the voters from the newest membership entry, committed or not (paper, section 6), or else from the
// snapshot.
void Raft::ReloadVoters() {
  voters_ = snapshot_.voters;
  voters_index_ = snapshot_.index;
  for (const Entry& entry : log_) {
    if (entry.kind != EntryKind::kVoters) continue;
    voters_ = entry.voters;
    voters_index_ = entry.index;
  }
}

ProposalResult Raft::ChangeVoters(Time now, const NodeId& id, bool add) {
  if (role_ != Role::kLeader) return {ProposalError::kNotLeader, 0, 0};
  const bool is_voter = std::find(voters_.begin(), voters_.end(), id) != voters_.end();
  if (is_voter == add) return {ProposalError::kNone, voters_index_, hard_state_.term};
  const bool may_change = AreVotersCommitted() && TermAt(commit_index_) == hard_state_.term;
  if (!may_change && options_.safety_checks.single_membership_change)
    return {ProposalError::kChangeNotPossible, 0, 0};
  return add ? AddVoter(now, id) : RemoveVoter(now, id);
}

ProposalResult Raft::AddVoter(Time now, const NodeId& id) {
  // A node of this name that was removed earlier may rejoin with another store.
  if (joining_voter_ != id) progress_[id] = {};
  joining_voter_ = id;
  SendAppend(id, AppendMode::kHeartbeat);
  AdvanceCommit(now);
  return {ProposalError::kNone, 0, hard_state_.term};
}

ProposalResult Raft::RemoveVoter(Time now, const NodeId& id) {
  std::vector<NodeId> voters = voters_;
  std::erase(voters, id);
  if (voters.empty()) return {ProposalError::kChangeNotPossible, 0, 0};
  AppendAsLeader(now, {0, 0, EntryKind::kVoters, {}, std::move(voters)});
  SendNewEntries();
  return {ProposalError::kNone, last_index(), hard_state_.term};
}

// Appends the membership change that adds the joining node once that node has all committed entries and lacks
// less than one batch of the log.
void Raft::PromoteJoiningVoter(Time now) {
  if (!joining_voter_ || !progress_.contains(*joining_voter_)) return;
  if (!AreVotersCommitted() || TermAt(commit_index_) != hard_state_.term) return;
  const Index match_index = progress_.at(*joining_voter_).match_index;
  if (match_index + options_.max_batch_entries <= last_index() || match_index < commit_index_) return;
  std::vector<NodeId> voters = voters_;
  voters.push_back(*std::exchange(joining_voter_, std::nullopt));
  std::sort(voters.begin(), voters.end());
  AppendAsLeader(now, {0, 0, EntryKind::kVoters, {}, std::move(voters)});
  SendNewEntries();
}

// A leader that is no longer a voter transfers its leadership, so that the others need not wait for an
// election timeout.
void Raft::StepDownAfterRemoval(Time now) {
  SendNewEntries();
  TransferLeadership(now);
  BecomeFollower(now, hard_state_.term, {});
}

}  // namespace lemoncroft::raft
