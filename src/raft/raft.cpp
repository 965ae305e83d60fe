#include "raft/raft.h"

#include <algorithm>
#include <utility>

namespace lemoncroft::raft {

Raft::Raft(const Options& options, NodeId self, PersistentState restored, std::uint64_t seed, Time now)
    : options_(options),
      self_(std::move(self)),
      random_(seed),
      hard_state_(std::move(restored.hard_state)),
      snapshot_(std::move(restored.snapshot)),
      log_(std::move(restored.log)),
      commit_index_(snapshot_.index),
      applied_index_(snapshot_.index),
      durable_index_(last_index()) {
  ReloadVoters();
  // This node may have acknowledged a leader just before it stopped, so that leader may still hold its lease.
  last_leader_contact_ =
      options_.safety_checks.vote_delay_after_restart ? now : now - options_.min_election_timeout;
  ResetElectionTimer(now);
}

Term Raft::TermAt(Index index) const {
  if (index == snapshot_.index) return snapshot_.term;
  return index > snapshot_.index && index <= last_index() ? EntryAt(index).term : 0;
}

// ---- Calls by the host ----

Time Raft::NextDeadline() const {
  if (role_ == Role::kLeader) return heartbeat_deadline_;
  return IsVoter() ? election_deadline_ : kNever;
}

void Raft::Tick(Time now) {
  if (role_ == Role::kLeader) {
    if (options_.safety_checks.check_quorum && now > last_quorum_contact_ + options_.max_election_timeout)
      return BecomeFollower(now, hard_state_.term, {});
    if (now >= heartbeat_deadline_) BroadcastHeartbeat(now);
    return;
  }
  if (now < election_deadline_ || !IsVoter()) return;
  if (options_.safety_checks.pre_vote)
    StartPreVote(now);
  else
    StartElection(now, false);
}

void Raft::Receive(Time now, const NodeId& from, const Message& message) {
  std::visit([&](const auto& alternative) { Handle(now, from, alternative); }, message);
}

std::vector<Output> Raft::TakeOutputs() { return std::exchange(outputs_, {}); }

void Raft::OnPersisted(Time now, std::uint64_t sequence) {
  persisted_sequence_ = std::max(persisted_sequence_, sequence);
  while (!pending_updates_.empty() && pending_updates_.front().sequence <= sequence) {
    durable_index_ = std::max(durable_index_, pending_updates_.front().last_index);
    pending_updates_.pop_front();
  }
  // A later update, which is not durable yet, may have replaced some of these entries.
  for (const PendingUpdate& later : pending_updates_)
    durable_index_ = std::min(durable_index_, later.truncate_after);
  durable_index_ = std::min(durable_index_, last_index());
  if (role_ == Role::kLeader) AdvanceCommit(now);
}

// ---- Outputs ----

void Raft::PersistEntries(Index truncate_after, std::vector<Entry> entries) {
  pending_updates_.push_back({++last_sequence_, truncate_after, last_index()});
  durable_index_ = std::min(durable_index_, truncate_after);
  outputs_.push_back(
      StorageUpdate{last_sequence_, hard_state_, truncate_after, std::move(entries), false, {}});
  if (!options_.safety_checks.count_durable_entries_only) durable_index_ = last_index();
}

void Raft::PersistSnapshot() {
  pending_updates_.push_back({++last_sequence_, snapshot_.index, last_index()});
  durable_index_ = std::min(durable_index_, last_index());
  outputs_.push_back(StorageUpdate{last_sequence_, hard_state_, snapshot_.index, log_, true, snapshot_});
}

// A leader's entries and snapshots wait only for the update with its vote (vote_sequence_), not for its own
// write of them (thesis, section 10.2.1); durable_index_ excludes entries that are not durable from its own
// contribution to commit quorums. All other messages wait for all earlier updates.
void Raft::Send(const NodeId& to, Message message) {
  const bool replicates = std::holds_alternative<AppendEntriesRequest>(message) ||
                          std::holds_alternative<InstallSnapshotRequest>(message);
  const std::uint64_t after = replicates && role_ == Role::kLeader ? vote_sequence_ : last_sequence_;
  outputs_.push_back(
      SendMessage{to, std::move(message), options_.safety_checks.persist_before_send ? after : 0});
}

void Raft::DeliverCommitted() {
  while (applied_index_ < commit_index_) outputs_.push_back(Committed{EntryAt(++applied_index_)});
}

// ---- Model checking ----

std::string Raft::CanonicalState() const {
  std::string out;
  const auto put = [&out](auto value) { out += std::to_string(value) + ","; };
  const auto text = [&out](const std::string& value) { out += value + ";"; };
  put(static_cast<int>(role_));
  put(hard_state_.term);
  text(hard_state_.voted_for);
  text(leader_);
  put(commit_index_);
  put(snapshot_.index);
  put(snapshot_.term);
  for (const Entry& entry : log_) {
    put(entry.term);
    put(static_cast<int>(entry.kind));
    text(entry.data);
    for (const NodeId& voter : entry.voters) text(voter);
  }
  for (const NodeId& voter : votes_granted_) text(voter);
  if (role_ == Role::kLeader) {
    for (const auto& [id, progress] : progress_) {
      text(id);
      put(progress.match_index);
      put(progress.last_sent_index);
    }
  }
  if (joining_voter_) text("new" + *joining_voter_);
  put(last_sequence_ - persisted_sequence_);
  put(durable_index_);
  for (const PendingUpdate& update : pending_updates_) {
    put(update.truncate_after);
    put(update.last_index);
  }
  return out;
}

}  // namespace lemoncroft::raft
