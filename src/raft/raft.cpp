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
  // It may have heard a leader, and promised it not to vote for another, just before it ended.
  last_leader_contact_ =
      options_.safety_checks.vote_delay_after_restart ? now : now - options_.min_election_timeout;
  ResetElectionTimer(now);
}

std::vector<Output> Raft::TakeOutputs() { return std::exchange(outputs_, {}); }

bool Raft::IsVoter() const { return std::find(voters_.begin(), voters_.end(), self_) != voters_.end(); }

Term Raft::TermAt(Index index) const {
  if (index == snapshot_.index) return snapshot_.term;
  return index > snapshot_.index && index <= last_index() ? EntryAt(index).term : 0;
}

// The newest entry that names voters, committed or not.
void Raft::ReloadVoters() {
  voters_ = snapshot_.voters;
  voters_index_ = snapshot_.index;
  for (const Entry& entry : log_)
    if (entry.kind == EntryKind::kVoters) voters_ = entry.voters, voters_index_ = entry.index;
}

// ---- What must be durable ----

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

void Raft::OnPersisted(Time now, std::uint64_t sequence) {
  persisted_sequence_ = std::max(persisted_sequence_, sequence);
  while (!pending_updates_.empty() && pending_updates_.front().sequence <= sequence) {
    durable_index_ = std::max(durable_index_, pending_updates_.front().last_index);
    pending_updates_.pop_front();
  }
  // What comes after may have put other entries in the place of these.
  for (const PendingUpdate& later : pending_updates_)
    durable_index_ = std::min(durable_index_, later.truncate_after);
  durable_index_ = std::min(durable_index_, last_index());
  if (role_ == Role::kLeader) AdvanceCommit(now);
}

// A leader's entries may go out while its own disk still writes them: they count there once they are kept.
// All else rests on all that was stored before.
void Raft::Send(const NodeId& to, Message message) {
  const bool entries = std::holds_alternative<AppendEntriesRequest>(message) ||
                       std::holds_alternative<InstallSnapshotRequest>(message);
  const std::uint64_t after = entries && role_ == Role::kLeader ? vote_sequence_ : last_sequence_;
  outputs_.push_back(
      SendMessage{to, std::move(message), options_.safety_checks.persist_before_send ? after : 0});
}

// ---- Time ----

void Raft::ResetElectionTimer(Time now) {
  const auto spread =
      static_cast<std::uint64_t>((options_.max_election_timeout - options_.min_election_timeout).count());
  election_deadline_ =
      now + options_.min_election_timeout + Duration(static_cast<Duration::rep>(random_() % (spread + 1)));
}

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

bool Raft::HoldsLeaderLease(Time now) const {
  if (role_ != Role::kLeader || !quorum_contacted_) return false;
  const double least = static_cast<double>(options_.min_election_timeout.count()) *
                       (1 - 2 * options_.max_clock_rate_difference);
  return now < last_quorum_contact_ + Duration(static_cast<Duration::rep>(least));
}

// ---- Elections ----

void Raft::BecomeFollower(Time now, Term term, const NodeId& leader) {
  if (term > hard_state_.term) {
    hard_state_ = {term, {}};
    PersistEntries(last_index(), {});
  }
  if (role_ == Role::kLeader) ResetElectionTimer(now);
  role_ = Role::kFollower;
  leader_ = leader;
  votes_granted_.clear();
  progress_.clear();
  joining_voter_.reset();
  heartbeat_sent_at_.clear();
  quorum_contacted_ = false;
}

void Raft::StartPreVote(Time now) {
  ResetElectionTimer(now);
  role_ = Role::kPreCandidate;
  leader_.clear();
  votes_granted_ = {self_};
  for (const NodeId& voter : voters_)
    if (voter != self_)
      Send(voter, VoteRequest{true, false, hard_state_.term + 1, last_index(), TermAt(last_index())});
  if (votes_granted_.size() >= Majority()) StartElection(now, false);
}

void Raft::StartElection(Time now, bool leadership_transfer) {
  ResetElectionTimer(now);
  role_ = Role::kCandidate;
  leader_.clear();
  hard_state_ = {hard_state_.term + 1, self_};
  PersistEntries(last_index(), {});
  vote_sequence_ = last_sequence_;
  votes_granted_.clear();
  // Its own vote is one of those that have to be durable first.
  Send(self_, VoteResponse{false, hard_state_.term, true});
  for (const NodeId& voter : voters_)
    if (voter != self_)
      Send(voter,
           VoteRequest{false, leadership_transfer, hard_state_.term, last_index(), TermAt(last_index())});
}

bool Raft::IsLogUpToDate(const VoteRequest& m) const {
  if (!options_.safety_checks.require_up_to_date_log) return true;
  const Term own = TermAt(last_index());
  return m.last_term != own ? m.last_term > own : m.last_index >= last_index();
}

// Whoever heard a leader lately, or is one, lets nobody disturb it.
bool Raft::DisturbsLeader(Time now, const VoteRequest& m) const {
  if (m.leadership_transfer || !options_.safety_checks.leader_stickiness) return false;
  if (role_ == Role::kLeader) return now < last_quorum_contact_ + options_.min_election_timeout;
  return now < last_leader_contact_ + options_.min_election_timeout;
}

void Raft::Handle(Time now, const NodeId& from, const VoteRequest& m) {
  if (DisturbsLeader(now, m)) return Send(from, VoteResponse{m.pre_vote, hard_state_.term, false});
  if (m.pre_vote) {
    const bool granted = m.term > hard_state_.term && IsLogUpToDate(m);
    return Send(from, VoteResponse{true, granted ? m.term : hard_state_.term, granted});
  }
  if (m.term > hard_state_.term) BecomeFollower(now, m.term, {});
  const bool free = hard_state_.voted_for.empty() || hard_state_.voted_for == from ||
                    !options_.safety_checks.single_vote_per_term;
  const bool granted = m.term == hard_state_.term && free && IsLogUpToDate(m);
  if (granted) {
    ResetElectionTimer(now);
    if (hard_state_.voted_for != from) {
      hard_state_.voted_for = from;
      PersistEntries(last_index(), {});
    }
  }
  Send(from, VoteResponse{false, hard_state_.term, granted});
}

void Raft::Handle(Time now, const NodeId& from, const VoteResponse& m) {
  if (!m.granted && m.term > hard_state_.term) return BecomeFollower(now, m.term, {});
  const bool own = m.pre_vote ? role_ == Role::kPreCandidate && m.term == hard_state_.term + 1
                              : role_ == Role::kCandidate && m.term == hard_state_.term;
  if (!own || !m.granted || std::find(voters_.begin(), voters_.end(), from) == voters_.end()) return;
  votes_granted_.insert(from);
  if (votes_granted_.size() < Majority()) return;
  if (m.pre_vote)
    StartElection(now, false);
  else
    BecomeLeader(now);
}

void Raft::BecomeLeader(Time now) {
  role_ = Role::kLeader;
  leader_ = self_;
  votes_granted_.clear();
  progress_.clear();
  for (const NodeId& voter : voters_)
    if (voter != self_) progress_[voter] = {0, last_index(), 0};
  quorum_contacted_ = false;
  last_quorum_contact_ = now;  // for stepping down; no lease yet
  heartbeat_sent_at_.clear();
  // Entries of former terms are committed with this one.
  AppendAsLeader(now, {0, 0, EntryKind::kNoOp, {}, {}});
  BroadcastHeartbeat(now);
}

// ---- A leader ----

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

void Raft::TransferLeadership(Time now) {
  if (role_ != Role::kLeader) return;
  const NodeId* best = nullptr;
  for (const NodeId& voter : voters_) {
    if (voter == self_) continue;
    if (best == nullptr || progress_.at(voter).match_index > progress_.at(*best).match_index) best = &voter;
  }
  if (best == nullptr) return;
  const NodeId to = *best;
  SendAppend(to, true);
  Send(to, TimeoutNowRequest{hard_state_.term});
  // From here on another may be elected at any time.
  if (options_.safety_checks.release_lease_on_transfer) BecomeFollower(now, hard_state_.term, {});
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

void Raft::Compact(Index index, std::string data) {
  if (index <= snapshot_.index || index > applied_index_) return;
  Snapshot fresh{index, TermAt(index), snapshot_.voters, std::move(data)};
  for (const Entry& entry : log_)
    if (entry.index <= index && entry.kind == EntryKind::kVoters) fresh.voters = entry.voters;
  log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(index - snapshot_.index));
  snapshot_ = std::move(fresh);
  PersistSnapshot();
}

// ---- Messages ----

void Raft::Receive(Time now, const NodeId& from, const Message& message) {
  std::visit([&](const auto& m) { Handle(now, from, m); }, message);
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

void Raft::Handle(Time now, const NodeId& from, const TimeoutNowRequest& m) {
  if (m.term != hard_state_.term || role_ != Role::kFollower || from != leader_ || !IsVoter()) return;
  StartElection(now, true);
}

// ---- For a search of states ----

std::string Raft::Canonical() const {
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
  for (const NodeId& name : votes_granted_) text(name);
  if (role_ == Role::kLeader) {
    for (const auto& [name, progress] : progress_) {
      text(name);
      put(progress.match_index);
      put(progress.last_sent_index);
    }
  }
  if (joining_voter_) text("new" + *joining_voter_);
  put(last_sequence_ - persisted_sequence_);
  put(durable_index_);
  for (const PendingUpdate& update : pending_updates_) put(update.truncate_after), put(update.last_index);
  return out;
}

}  // namespace lemoncroft::raft
