#include <algorithm>
#include <functional>
#include <utility>

#include "raft/raft.h"

namespace lemoncroft::raft {

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
  while (heartbeat_sent_at_.size() > 64) heartbeat_sent_at_.erase(heartbeat_sent_at_.begin());
  for (auto& [to, progress] : progress_) SendAppend(to, true);
  if (voters_ == std::vector<NodeId>{self_}) quorum_contacted_ = true, last_quorum_contact_ = now;
}

void Raft::SendAppend(const NodeId& to, bool again) {
  Progress& progress = progress_.at(to);
  if (again) progress.last_sent_index = progress.match_index;
  if (progress.match_index < snapshot_.index) {
    if (again) Send(to, InstallSnapshotRequest{hard_state_.term, heartbeat_round_, snapshot_});
    return;
  }
  AppendEntriesRequest m;
  m.term = hard_state_.term;
  m.heartbeat_round = heartbeat_round_;
  m.prev_index = std::max(progress.last_sent_index, snapshot_.index);
  m.prev_term = TermAt(m.prev_index);
  m.leader_commit = commit_index_;
  m.leader_durable_index = durable_index_;
  std::size_t bytes = 0;
  for (Index i = m.prev_index + 1; i <= last_index() && m.entries.size() < options_.max_batch_entries; ++i) {
    bytes += EntryAt(i).data.size();
    if (bytes > options_.max_batch_bytes && !m.entries.empty()) break;
    m.entries.push_back(EntryAt(i));
  }
  if (!again && m.entries.empty()) return;
  progress.last_sent_index = m.prev_index + m.entries.size();
  Send(to, std::move(m));
}

void Raft::SendNewEntries() {
  for (auto& [to, progress] : progress_) SendAppend(to, false);
}

ProposalResult Raft::Propose(Time now, std::string data) {
  if (role_ != Role::kLeader) return {ProposalError::kNotLeader, 0, 0};
  if (data.size() > options_.max_entry_bytes) return {ProposalError::kEntryTooLarge, 0, 0};
  AppendAsLeader(now, {0, 0, EntryKind::kData, std::move(data), {}});
  SendNewEntries();
  return {ProposalError::kNone, last_index(), hard_state_.term};
}

void Raft::AdvanceCommit(Time now) {
  std::vector<Index> matches;
  for (const NodeId& voter : voters_) {
    if (voter == self_)
      matches.push_back(durable_index_);
    else
      matches.push_back(progress_.contains(voter) ? progress_.at(voter).match_index : 0);
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const Index agreed = matches.empty() ? 0 : matches[Majority() - 1];
  if (agreed > commit_index_ &&
      (TermAt(agreed) == hard_state_.term || !options_.safety_checks.commit_current_term_only)) {
    commit_index_ = agreed;
    DeliverCommitted();
    if (voters_index_ <= commit_index_ && !IsVoter()) {
      // It has voted itself out: another leads at once, rather than after an election's wait.
      SendNewEntries();
      TransferLeadership(now);
      return BecomeFollower(now, hard_state_.term, {});
    }
  }
  if (joining_voter_ && progress_.contains(*joining_voter_) && voters_index_ <= commit_index_ &&
      TermAt(commit_index_) == hard_state_.term &&
      progress_.at(*joining_voter_).match_index + options_.max_batch_entries > last_index() &&
      progress_.at(*joining_voter_).match_index >= commit_index_) {
    std::vector<NodeId> voters = voters_;
    voters.push_back(*std::exchange(joining_voter_, std::nullopt));
    std::sort(voters.begin(), voters.end());
    AppendAsLeader(now, {0, 0, EntryKind::kVoters, {}, std::move(voters)});
    SendNewEntries();
  }
}

void Raft::DeliverCommitted() {
  while (applied_index_ < commit_index_) outputs_.push_back(Committed{EntryAt(++applied_index_)});
}

void Raft::Handle(Time now, const NodeId& from, const AppendEntriesRequest& m) {
  if (m.term < hard_state_.term)
    return Send(from, AppendEntriesResponse{hard_state_.term, m.heartbeat_round, false, 0});
  if (role_ == Role::kLeader && m.term == hard_state_.term) return;  // there is one a term
  BecomeFollower(now, m.term, from);
  last_leader_contact_ = now;
  ResetElectionTimer(now);
  if (m.prev_index > last_index() && options_.safety_checks.log_matching)
    return Send(from, AppendEntriesResponse{hard_state_.term, m.heartbeat_round, false, last_index()});
  if (m.prev_index >= snapshot_.index && TermAt(m.prev_index) != m.prev_term &&
      options_.safety_checks.log_matching) {
    // Back to before that term, at once.
    Index back = m.prev_index;
    const Term other = TermAt(back);
    while (back > snapshot_.index && back > commit_index_ && TermAt(back) == other) --back;
    return Send(from, AppendEntriesResponse{hard_state_.term, m.heartbeat_round, false, back});
  }
  Index truncate_after = last_index();
  std::vector<Entry> fresh;
  for (const Entry& entry : m.entries) {
    if (entry.index <= snapshot_.index || entry.index > last_index() + 1) continue;
    if (fresh.empty() && entry.index <= last_index() && TermAt(entry.index) == entry.term) continue;
    if (fresh.empty()) {
      truncate_after = entry.index - 1;
      log_.resize(truncate_after - snapshot_.index);
    }
    log_.push_back(entry);
    fresh.push_back(entry);
  }
  if (!fresh.empty()) {
    PersistEntries(truncate_after, std::move(fresh));
    ReloadVoters();
  }
  const Index match = std::max(m.prev_index, m.entries.empty() ? 0 : m.entries.back().index);
  const Index commit = std::min({m.leader_commit, match, last_index()});
  if (commit > commit_index_) {
    commit_index_ = commit;
    DeliverCommitted();
  }
  Send(from, AppendEntriesResponse{hard_state_.term, m.heartbeat_round, true, std::min(match, last_index())});
}

void Raft::Handle(Time now, const NodeId& from, const AppendEntriesResponse& m) {
  if (m.term > hard_state_.term) return BecomeFollower(now, m.term, {});
  const auto it = progress_.find(from);
  if (role_ != Role::kLeader || m.term < hard_state_.term || it == progress_.end()) return;
  Progress& progress = it->second;
  if (m.success) {
    progress.match_index = std::max(progress.match_index, std::min(m.match_index, last_index()));
    progress.last_sent_index = std::max(progress.last_sent_index, progress.match_index);
  } else {
    progress.last_sent_index = std::max(progress.match_index, std::min(m.match_index, last_index()));
  }
  progress.acked_round = std::max(progress.acked_round, m.heartbeat_round);
  // The newest beat that a majority has answered: nobody else was elected until some time after it was sent.
  std::vector<std::uint64_t> answered;
  for (const NodeId& voter : voters_)
    answered.push_back(voter == self_              ? heartbeat_round_
                       : progress_.contains(voter) ? progress_.at(voter).acked_round
                                                   : 0);
  std::sort(answered.begin(), answered.end(), std::greater<>());
  if (const auto sent = heartbeat_sent_at_.find(answered[Majority() - 1]); sent != heartbeat_sent_at_.end()) {
    last_quorum_contact_ = std::max(last_quorum_contact_, sent->second);
    quorum_contacted_ = true;
    heartbeat_sent_at_.erase(heartbeat_sent_at_.begin(), sent);
  }
  AdvanceCommit(now);
  if (role_ == Role::kLeader && progress_.contains(from)) SendAppend(from, false);
}

}  // namespace lemoncroft::raft
