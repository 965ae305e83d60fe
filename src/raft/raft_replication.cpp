// Raft log replication, heartbeats and commitment.
#include <algorithm>
#include <functional>
#include <utility>

#include "raft/raft.h"

namespace lemoncroft::raft {

namespace {

// The leader drops older rounds; responses to them extend no lease.
constexpr std::size_t kMaxTrackedHeartbeats = 64;

}  // namespace

// ---- Leader ----

ProposalResult Raft::Propose(Time now, std::string data) {
  if (role_ != Role::kLeader) return {ProposalError::kNotLeader, 0, 0};
  if (data.size() > options_.max_entry_bytes) return {ProposalError::kEntryTooLarge, 0, 0};
  AppendAsLeader(now, {0, 0, EntryKind::kData, std::move(data), {}});
  SendNewEntries();
  return {ProposalError::kNone, last_index(), hard_state_.term};
}

void Raft::AppendAsLeader(Time now, Entry entry) {
  entry.term = hard_state_.term;
  entry.index = last_index() + 1;
  log_.push_back(entry);
  if (entry.kind == EntryKind::kVoters) {
    ReloadVoters();
    for (const NodeId& voter : voters_)
      if (voter != self_) progress_.try_emplace(voter);
  }
  PersistEntries(last_index() - 1, {std::move(entry)});
  AdvanceCommit(now);
}

void Raft::BroadcastHeartbeat(Time now) {
  heartbeat_deadline_ = now + options_.heartbeat_interval;
  ++heartbeat_round_;
  heartbeat_sent_at_[heartbeat_round_] = now;
  while (heartbeat_sent_at_.size() > kMaxTrackedHeartbeats)
    heartbeat_sent_at_.erase(heartbeat_sent_at_.begin());
  for (const auto& [id, progress] : progress_) SendAppend(id, AppendMode::kHeartbeat);
  if (voters_ == std::vector<NodeId>{self_}) {  // there is no other voter that could respond
    quorum_contacted_ = true;
    last_quorum_contact_ = now;
  }
}

void Raft::SendAppend(const NodeId& to, AppendMode mode) {
  Progress& progress = progress_.at(to);
  const bool heartbeat = mode == AppendMode::kHeartbeat;
  if (heartbeat) progress.last_sent_index = progress.match_index;
  if (progress.match_index < snapshot_.index) {
    if (heartbeat) Send(to, InstallSnapshotRequest{hard_state_.term, heartbeat_round_, snapshot_});
    return;
  }
  AppendEntriesRequest request;
  request.term = hard_state_.term;
  request.heartbeat_round = heartbeat_round_;
  request.prev_index = std::max(progress.last_sent_index, snapshot_.index);
  request.prev_term = TermAt(request.prev_index);
  request.leader_commit = commit_index_;
  request.leader_durable_index = durable_index_;
  std::size_t bytes = 0;
  for (Index i = request.prev_index + 1;
       i <= last_index() && request.entries.size() < options_.max_batch_entries; ++i) {
    bytes += EntryAt(i).data.size();
    if (bytes > options_.max_batch_bytes && !request.entries.empty()) break;
    request.entries.push_back(EntryAt(i));
  }
  if (!heartbeat && request.entries.empty()) return;
  progress.last_sent_index = request.prev_index + request.entries.size();
  Send(to, std::move(request));
}

void Raft::SendNewEntries() {
  for (const auto& [id, progress] : progress_) SendAppend(id, AppendMode::kNewEntries);
}

// Returns the highest index that a majority of the voters has stored durably.
Index Raft::QuorumIndex() const {
  if (voters_.empty()) return 0;
  std::vector<Index> match_indices;
  for (const NodeId& voter : voters_) {
    if (voter == self_) {
      match_indices.push_back(durable_index_);
      continue;
    }
    const auto progress = progress_.find(voter);
    match_indices.push_back(progress != progress_.end() ? progress->second.match_index : 0);
  }
  std::sort(match_indices.begin(), match_indices.end(), std::greater<>());
  return match_indices[Majority() - 1];
}

void Raft::AdvanceCommit(Time now) {
  const Index index = QuorumIndex();
  const bool current_term =
      TermAt(index) == hard_state_.term || !options_.safety_checks.commit_current_term_only;
  if (index > commit_index_ && current_term) {
    commit_index_ = index;
    DeliverCommitted();
    if (AreVotersCommitted() && !IsVoter()) return StepDownAfterRemoval(now);
  }
  PromoteJoiningVoter(now);
}

void Raft::Handle(Time now, const NodeId& from, const AppendEntriesResponse& response) {
  if (response.term > hard_state_.term) return BecomeFollower(now, response.term, {});
  const auto it = progress_.find(from);
  if (role_ != Role::kLeader || response.term < hard_state_.term || it == progress_.end()) return;
  Progress& progress = it->second;
  const Index match_index = std::min(response.match_index, last_index());
  if (response.success) {
    progress.match_index = std::max(progress.match_index, match_index);
    progress.last_sent_index = std::max(progress.last_sent_index, progress.match_index);
  } else {
    progress.last_sent_index = std::max(progress.match_index, match_index);
  }
  progress.acked_round = std::max(progress.acked_round, response.heartbeat_round);
  UpdateQuorumContact();
  AdvanceCommit(now);
  if (role_ == Role::kLeader && progress_.contains(from)) SendAppend(from, AppendMode::kNewEntries);
}

// Finds the newest heartbeat round that a majority has acknowledged. The lease starts at the time at which
// that round was sent.
void Raft::UpdateQuorumContact() {
  std::vector<std::uint64_t> acked_rounds;
  for (const NodeId& voter : voters_) {
    if (voter == self_) {
      acked_rounds.push_back(heartbeat_round_);
      continue;
    }
    const auto progress = progress_.find(voter);
    acked_rounds.push_back(progress != progress_.end() ? progress->second.acked_round : 0);
  }
  std::sort(acked_rounds.begin(), acked_rounds.end(), std::greater<>());
  const auto sent_at = heartbeat_sent_at_.find(acked_rounds[Majority() - 1]);
  if (sent_at == heartbeat_sent_at_.end()) return;
  last_quorum_contact_ = std::max(last_quorum_contact_, sent_at->second);
  quorum_contacted_ = true;
  heartbeat_sent_at_.erase(heartbeat_sent_at_.begin(), sent_at);
}

// ---- Follower ----

void Raft::Handle(Time now, const NodeId& from, const AppendEntriesRequest& request) {
  if (request.term < hard_state_.term)
    return Send(from, AppendEntriesResponse{hard_state_.term, request.heartbeat_round, false, 0});
  if (role_ == Role::kLeader && request.term == hard_state_.term) return;  // a term has one leader
  FollowLeader(now, request.term, from);
  if (const std::optional<Index> conflict_hint = FindConflict(request))
    return Send(from,
                AppendEntriesResponse{hard_state_.term, request.heartbeat_round, false, *conflict_hint});
  AppendFromLeader(request.entries);
  const Index match_index =
      std::max(request.prev_index, request.entries.empty() ? 0 : request.entries.back().index);
  const Index commit_index = std::min({request.leader_commit, match_index, last_index()});
  if (commit_index > commit_index_) {
    commit_index_ = commit_index;
    DeliverCommitted();
  }
  Send(from, AppendEntriesResponse{hard_state_.term, request.heartbeat_round, true,
                                   std::min(match_index, last_index())});
}

// Returns the index after which the leader should retry if the entry at prev_index is missing or has another
// term, otherwise nullopt. Skips all entries of the conflicting term at once.
std::optional<Index> Raft::FindConflict(const AppendEntriesRequest& request) const {
  if (!options_.safety_checks.log_matching) return std::nullopt;
  if (request.prev_index > last_index()) return last_index();
  if (request.prev_index < snapshot_.index || TermAt(request.prev_index) == request.prev_term)
    return std::nullopt;
  Index index = request.prev_index;
  const Term conflicting_term = TermAt(index);
  while (index > snapshot_.index && index > commit_index_ && TermAt(index) == conflicting_term) --index;
  return index;
}

// Skips the entries that the log already contains. The first other entry replaces the rest of the log.
void Raft::AppendFromLeader(const std::vector<Entry>& entries) {
  Index truncate_after = last_index();
  std::vector<Entry> appended;
  for (const Entry& entry : entries) {
    if (entry.index <= snapshot_.index || entry.index > last_index() + 1) continue;
    const bool known = entry.index <= last_index() && TermAt(entry.index) == entry.term;
    if (appended.empty() && known) continue;
    if (appended.empty()) {
      truncate_after = entry.index - 1;
      log_.resize(truncate_after - snapshot_.index);
    }
    log_.push_back(entry);
    appended.push_back(entry);
  }
  if (appended.empty()) return;
  PersistEntries(truncate_after, std::move(appended));
  ReloadVoters();
}

}  // namespace lemoncroft::raft
