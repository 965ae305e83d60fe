#include <algorithm>
#include <utility>

#include "raft/raft.h"

namespace lemoncroft::raft {

bool Raft::IsVoter() const { return std::find(voters_.begin(), voters_.end(), self_) != voters_.end(); }

// The newest entry that names voters, committed or not.
void Raft::ReloadVoters() {
  voters_ = snapshot_.voters;
  voters_index_ = snapshot_.index;
  for (const Entry& entry : log_)
    if (entry.kind == EntryKind::kVoters) voters_ = entry.voters, voters_index_ = entry.index;
}

ProposalResult Raft::ChangeVoters(Time now, const NodeId& who, bool in) {
  if (role_ != Role::kLeader) return {ProposalError::kNotLeader, 0, 0};
  const bool member = std::find(voters_.begin(), voters_.end(), who) != voters_.end();
  if (member == in) return {ProposalError::kNone, voters_index_, hard_state_.term};
  const bool settled = voters_index_ <= commit_index_ && TermAt(commit_index_) == hard_state_.term;
  if (!settled && options_.safety_checks.single_membership_change)
    return {ProposalError::kChangeInProgress, 0, 0};
  if (in) {
    // What one of that name had before it was removed counts for nothing: its store may be another.
    if (joining_voter_ != who) progress_[who] = {};
    joining_voter_ = who;
    SendAppend(who, true);
    AdvanceCommit(now);
    return {ProposalError::kNone, 0, hard_state_.term};
  }
  std::vector<NodeId> voters = voters_;
  std::erase(voters, who);
  if (voters.empty()) return {ProposalError::kChangeInProgress, 0, 0};
  AppendAsLeader(now, {0, 0, EntryKind::kVoters, {}, std::move(voters)});
  SendNewEntries();
  return {ProposalError::kNone, last_index(), hard_state_.term};
}

}  // namespace lemoncroft::raft
