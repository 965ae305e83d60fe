// Raft log compaction, and snapshots for followers that need entries which were compacted.
#include <algorithm>
#include <utility>

#include "raft/raft.h"

namespace lemoncroft::raft {

void Raft::Compact(Index index, std::string data) {
  if (index <= snapshot_.index || index > applied_index_) return;
  Snapshot snapshot{index, TermAt(index), snapshot_.voters, std::move(data)};
  for (const Entry& entry : log_)
    if (entry.index <= index && entry.kind == EntryKind::kVoters) snapshot.voters = entry.voters;
  log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(index - snapshot_.index));
  snapshot_ = std::move(snapshot);
  PersistSnapshot();
}

void Raft::Handle(Time now, const NodeId& from, const InstallSnapshotRequest& request) {
  if (request.term < hard_state_.term)
    return Send(from, AppendEntriesResponse{hard_state_.term, request.heartbeat_round, false, 0});
  if (role_ == Role::kLeader && request.term == hard_state_.term) return;  // a term has one leader
  FollowLeader(now, request.term, from);
  if (request.snapshot.index > commit_index_) InstallSnapshot(request.snapshot);
  Send(from, AppendEntriesResponse{hard_state_.term, request.heartbeat_round, true,
                                   std::max(commit_index_, request.snapshot.index)});
}

// Keeps the entries after the snapshot if the log contains the snapshot's last entry; otherwise drops the
// entire log.
void Raft::InstallSnapshot(const Snapshot& snapshot) {
  const bool log_continues = snapshot.index < last_index() && TermAt(snapshot.index) == snapshot.term;
  if (log_continues)
    log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(snapshot.index - snapshot_.index));
  else
    log_.clear();
  snapshot_ = snapshot;
  commit_index_ = applied_index_ = snapshot_.index;
  ReloadVoters();
  PersistSnapshot();
  outputs_.push_back(SnapshotInstalled{snapshot_});
}

}  // namespace lemoncroft::raft
