#include <algorithm>
#include <utility>

#include "raft/raft.h"

namespace lemoncroft::raft {

void Raft::Compact(Index index, std::string data) {
  if (index <= snapshot_.index || index > applied_index_) return;
  Snapshot fresh{index, TermAt(index), snapshot_.voters, std::move(data)};
  for (const Entry& entry : log_)
    if (entry.index <= index && entry.kind == EntryKind::kVoters) fresh.voters = entry.voters;
  log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(index - snapshot_.index));
  snapshot_ = std::move(fresh);
  PersistSnapshot();
}

void Raft::Handle(Time now, const NodeId& from, const InstallSnapshotRequest& m) {
  if (m.term < hard_state_.term)
    return Send(from, AppendEntriesResponse{hard_state_.term, m.heartbeat_round, false, 0});
  if (role_ == Role::kLeader && m.term == hard_state_.term) return;
  BecomeFollower(now, m.term, from);
  last_leader_contact_ = now;
  ResetElectionTimer(now);
  if (m.snapshot.index > commit_index_) {
    const bool follows = m.snapshot.index < last_index() && TermAt(m.snapshot.index) == m.snapshot.term;
    if (follows)
      log_.erase(log_.begin(),
                 log_.begin() + static_cast<std::ptrdiff_t>(m.snapshot.index - snapshot_.index));
    else
      log_.clear();
    snapshot_ = m.snapshot;
    commit_index_ = applied_index_ = snapshot_.index;
    ReloadVoters();
    PersistSnapshot();
    outputs_.push_back(SnapshotInstalled{snapshot_});
  }
  Send(from, AppendEntriesResponse{hard_state_.term, m.heartbeat_round, true,
                                   std::max(commit_index_, m.snapshot.index)});
}

}  // namespace lemoncroft::raft
