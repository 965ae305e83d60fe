#include "raft/raft.h"

#include <algorithm>
#include <utility>

namespace lemoncroft::raft {

Raft::Raft(const Options& settings, NodeId self, PersistentState restored, std::uint64_t seed, Time now)
    : set_(settings),
      self_(std::move(self)),
      random_(seed),
      promise_(std::move(restored.hard_state)),
      snapshot_(std::move(restored.snapshot)),
      log_(std::move(restored.log)),
      commit_(snapshot_.index),
      applied_(snapshot_.index),
      durable_(last()) {
  TakeVoters();
  // It may have heard a leader, and promised it not to vote for another, just before it ended.
  heard_at_ = set_.guards.wait_after_start ? now : now - set_.election_least;
  RestElection(now);
}

std::vector<Output> Raft::Take() { return std::exchange(outputs_, {}); }

bool Raft::Votes() const { return std::find(voters_.begin(), voters_.end(), self_) != voters_.end(); }

Term Raft::TermAt(Index index) const {
  if (index == snapshot_.index) return snapshot_.term;
  return index > snapshot_.index && index <= last() ? At(index).term : 0;
}

// The newest entry that names voters, committed or not.
void Raft::TakeVoters() {
  voters_ = snapshot_.voters;
  voters_at_ = snapshot_.index;
  for (const Entry& entry : log_)
    if (entry.kind == EntryKind::kVoters) voters_ = entry.voters, voters_at_ = entry.index;
}

// ---- What must be durable ----

void Raft::Keep(Index keep_to, std::vector<Entry> entries) {
  pending_.push_back({++number_, keep_to, last()});
  durable_ = std::min(durable_, keep_to);
  outputs_.push_back(StorageUpdate{number_, promise_, keep_to, std::move(entries), false, {}});
  if (!set_.guards.counts_itself_kept) durable_ = last();
}

void Raft::KeepWhole() {
  pending_.push_back({++number_, snapshot_.index, last()});
  durable_ = std::min(durable_, last());
  outputs_.push_back(StorageUpdate{number_, promise_, snapshot_.index, log_, true, snapshot_});
}

void Raft::Stored(Time now, std::uint64_t number) {
  kept_ = std::max(kept_, number);
  while (!pending_.empty() && pending_.front().number <= number) {
    durable_ = std::max(durable_, pending_.front().last);
    pending_.pop_front();
  }
  // What comes after may have put other entries in the place of these.
  for (const Pending& later : pending_) durable_ = std::min(durable_, later.truncate_after);
  durable_ = std::min(durable_, last());
  if (role_ == Role::kLeader) Advance(now);
}

// A leader's entries may go out while its own disk still writes them: they count there once they are kept.
// All else rests on all that was stored before.
void Raft::Post(const NodeId& to, Message message) {
  const bool entries = std::holds_alternative<AppendEntriesRequest>(message) ||
                       std::holds_alternative<InstallSnapshotRequest>(message);
  const std::uint64_t after = entries && role_ == Role::kLeader ? promised_ : number_;
  outputs_.push_back(SendMessage{to, std::move(message), set_.guards.durable_first ? after : 0});
}

// ---- Time ----

void Raft::RestElection(Time now) {
  const auto spread = static_cast<std::uint64_t>((set_.election_most - set_.election_least).count());
  election_at_ = now + set_.election_least + Duration(static_cast<Duration::rep>(random_() % (spread + 1)));
}

Time Raft::due() const {
  if (role_ == Role::kLeader) return beat_at_;
  return Votes() ? election_at_ : kNever;
}

void Raft::Step(Time now) {
  if (role_ == Role::kLeader) {
    if (set_.guards.step_down && now > majority_at_ + set_.election_most)
      return Follow(now, promise_.term, {});
    if (now >= beat_at_) Beat(now);
    return;
  }
  if (now < election_at_ || !Votes()) return;
  if (set_.guards.pre_vote)
    Ask(now);
  else
    Campaign(now, false);
}

bool Raft::Leads(Time now) const {
  if (role_ != Role::kLeader || !majority_) return false;
  const double least = static_cast<double>(set_.election_least.count()) * (1 - 2 * set_.rates_differ);
  return now < majority_at_ + Duration(static_cast<Duration::rep>(least));
}

// ---- Elections ----

void Raft::Follow(Time now, Term term, const NodeId& leader) {
  if (term > promise_.term) {
    promise_ = {term, {}};
    Keep(last(), {});
  }
  if (role_ == Role::kLeader) RestElection(now);
  role_ = Role::kFollower;
  leader_ = leader;
  granted_.clear();
  progress_.clear();
  newcomer_.reset();
  beats_sent_.clear();
  majority_ = false;
}

void Raft::Ask(Time now) {
  RestElection(now);
  role_ = Role::kPreCandidate;
  leader_.clear();
  granted_ = {self_};
  for (const NodeId& voter : voters_)
    if (voter != self_) Post(voter, VoteRequest{true, false, promise_.term + 1, last(), TermAt(last())});
  if (granted_.size() >= Majority()) Campaign(now, false);
}

void Raft::Campaign(Time now, bool handed) {
  RestElection(now);
  role_ = Role::kCandidate;
  leader_.clear();
  promise_ = {promise_.term + 1, self_};
  Keep(last(), {});
  promised_ = number_;
  granted_.clear();
  // Its own vote is one of those that have to be durable first.
  Post(self_, VoteResponse{false, promise_.term, true});
  for (const NodeId& voter : voters_)
    if (voter != self_) Post(voter, VoteRequest{false, handed, promise_.term, last(), TermAt(last())});
}

bool Raft::UpToDate(const VoteRequest& m) const {
  if (!set_.guards.up_to_date) return true;
  const Term own = TermAt(last());
  return m.last_term != own ? m.last_term > own : m.last_index >= last();
}

// Whoever heard a leader lately, or is one, lets nobody disturb it.
bool Raft::Disturbs(Time now, const VoteRequest& m) const {
  if (m.leadership_transfer || !set_.guards.sticky) return false;
  if (role_ == Role::kLeader) return now < majority_at_ + set_.election_least;
  return now < heard_at_ + set_.election_least;
}

void Raft::On(Time now, const NodeId& from, const VoteRequest& m) {
  if (Disturbs(now, m)) return Post(from, VoteResponse{m.pre_vote, promise_.term, false});
  if (m.pre_vote) {
    const bool granted = m.term > promise_.term && UpToDate(m);
    return Post(from, VoteResponse{true, granted ? m.term : promise_.term, granted});
  }
  if (m.term > promise_.term) Follow(now, m.term, {});
  const bool free = promise_.voted_for.empty() || promise_.voted_for == from || !set_.guards.one_vote;
  const bool granted = m.term == promise_.term && free && UpToDate(m);
  if (granted) {
    RestElection(now);
    if (promise_.voted_for != from) {
      promise_.voted_for = from;
      Keep(last(), {});
    }
  }
  Post(from, VoteResponse{false, promise_.term, granted});
}

void Raft::On(Time now, const NodeId& from, const VoteResponse& m) {
  if (!m.granted && m.term > promise_.term) return Follow(now, m.term, {});
  const bool own = m.pre_vote ? role_ == Role::kPreCandidate && m.term == promise_.term + 1
                              : role_ == Role::kCandidate && m.term == promise_.term;
  if (!own || !m.granted || std::find(voters_.begin(), voters_.end(), from) == voters_.end()) return;
  granted_.insert(from);
  if (granted_.size() < Majority()) return;
  if (m.pre_vote)
    Campaign(now, false);
  else
    Win(now);
}

void Raft::Win(Time now) {
  role_ = Role::kLeader;
  leader_ = self_;
  granted_.clear();
  progress_.clear();
  for (const NodeId& voter : voters_)
    if (voter != self_) progress_[voter] = {0, last(), 0};
  majority_ = false;
  majority_at_ = now;  // for stepping down; no lease yet
  beats_sent_.clear();
  // Entries of former terms are committed with this one.
  AppendOwn(now, {0, 0, EntryKind::kNoOp, {}, {}});
  Beat(now);
}

// ---- A leader ----

void Raft::AppendOwn(Time now, Entry entry) {
  entry.term = promise_.term;
  entry.index = last() + 1;
  log_.push_back(entry);
  if (entry.kind == EntryKind::kVoters) {
    TakeVoters();
    for (const NodeId& voter : voters_)
      if (voter != self_) progress_.try_emplace(voter);
  }
  Keep(last() - 1, {std::move(entry)});
  Advance(now);
}

void Raft::Beat(Time now) {
  beat_at_ = now + set_.beat;
  ++beat_;
  beats_sent_[beat_] = now;
  while (beats_sent_.size() > 64) beats_sent_.erase(beats_sent_.begin());
  for (auto& [to, progress] : progress_) Replicate(to, true);
  if (voters_ == std::vector<NodeId>{self_}) majority_ = true, majority_at_ = now;
}

void Raft::Replicate(const NodeId& to, bool again) {
  Progress& progress = progress_.at(to);
  if (again) progress.sent = progress.match;
  if (progress.match < snapshot_.index) {
    if (again) Post(to, InstallSnapshotRequest{promise_.term, beat_, snapshot_});
    return;
  }
  AppendEntriesRequest m;
  m.term = promise_.term;
  m.beat = beat_;
  m.prev_index = std::max(progress.sent, snapshot_.index);
  m.prev_term = TermAt(m.prev_index);
  m.commit = commit_;
  m.kept = durable_;
  std::size_t bytes = 0;
  for (Index i = m.prev_index + 1; i <= last() && m.entries.size() < set_.batch; ++i) {
    bytes += At(i).data.size();
    if (bytes > set_.batch_bytes && !m.entries.empty()) break;
    m.entries.push_back(At(i));
  }
  if (!again && m.entries.empty()) return;
  progress.sent = m.prev_index + m.entries.size();
  Post(to, std::move(m));
}

void Raft::ReplicateAll() {
  for (auto& [to, progress] : progress_) Replicate(to, false);
}

ProposalResult Raft::Propose(Time now, std::string data) {
  if (role_ != Role::kLeader) return {ProposalError::kNotLeader, 0, 0};
  if (data.size() > set_.data_most) return {ProposalError::kEntryTooLarge, 0, 0};
  AppendOwn(now, {0, 0, EntryKind::kData, std::move(data), {}});
  ReplicateAll();
  return {ProposalError::kNone, last(), promise_.term};
}

ProposalResult Raft::ChangeVoters(Time now, const NodeId& who, bool in) {
  if (role_ != Role::kLeader) return {ProposalError::kNotLeader, 0, 0};
  const bool member = std::find(voters_.begin(), voters_.end(), who) != voters_.end();
  if (member == in) return {ProposalError::kNone, voters_at_, promise_.term};
  const bool settled = voters_at_ <= commit_ && TermAt(commit_) == promise_.term;
  if (!settled && set_.guards.one_change) return {ProposalError::kChangeInProgress, 0, 0};
  if (in) {
    // What one of that name had before it was removed counts for nothing: its store may be another.
    if (newcomer_ != who) progress_[who] = {};
    newcomer_ = who;
    Replicate(who, true);
    Advance(now);
    return {ProposalError::kNone, 0, promise_.term};
  }
  std::vector<NodeId> voters = voters_;
  std::erase(voters, who);
  if (voters.empty()) return {ProposalError::kChangeInProgress, 0, 0};
  AppendOwn(now, {0, 0, EntryKind::kVoters, {}, std::move(voters)});
  ReplicateAll();
  return {ProposalError::kNone, last(), promise_.term};
}

void Raft::Resign(Time now) {
  if (role_ != Role::kLeader) return;
  const NodeId* best = nullptr;
  for (const NodeId& voter : voters_) {
    if (voter == self_) continue;
    if (best == nullptr || progress_.at(voter).match > progress_.at(*best).match) best = &voter;
  }
  if (best == nullptr) return;
  const NodeId to = *best;
  Replicate(to, true);
  Post(to, TimeoutNowRequest{promise_.term});
  // From here on another may be elected at any time.
  if (set_.guards.give_up_lease) Follow(now, promise_.term, {});
}

void Raft::Advance(Time now) {
  std::vector<Index> matches;
  for (const NodeId& voter : voters_) {
    if (voter == self_)
      matches.push_back(durable_);
    else
      matches.push_back(progress_.contains(voter) ? progress_.at(voter).match : 0);
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const Index agreed = matches.empty() ? 0 : matches[Majority() - 1];
  if (agreed > commit_ && (TermAt(agreed) == promise_.term || !set_.guards.own_term)) {
    commit_ = agreed;
    Apply();
    if (voters_at_ <= commit_ && !Votes()) {
      // It has voted itself out: another leads at once, rather than after an election's wait.
      ReplicateAll();
      Resign(now);
      return Follow(now, promise_.term, {});
    }
  }
  if (newcomer_ && progress_.contains(*newcomer_) && voters_at_ <= commit_ &&
      TermAt(commit_) == promise_.term && progress_.at(*newcomer_).match + set_.batch > last() &&
      progress_.at(*newcomer_).match >= commit_) {
    std::vector<NodeId> voters = voters_;
    voters.push_back(*std::exchange(newcomer_, std::nullopt));
    std::sort(voters.begin(), voters.end());
    AppendOwn(now, {0, 0, EntryKind::kVoters, {}, std::move(voters)});
    ReplicateAll();
  }
}

void Raft::Apply() {
  while (applied_ < commit_) outputs_.push_back(Committed{At(++applied_)});
}

void Raft::Compact(Index index, std::string data) {
  if (index <= snapshot_.index || index > applied_) return;
  Snapshot fresh{index, TermAt(index), snapshot_.voters, std::move(data)};
  for (const Entry& entry : log_)
    if (entry.index <= index && entry.kind == EntryKind::kVoters) fresh.voters = entry.voters;
  log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(index - snapshot_.index));
  snapshot_ = std::move(fresh);
  KeepWhole();
}

// ---- Messages ----

void Raft::Receive(Time now, const NodeId& from, const Message& message) {
  std::visit([&](const auto& m) { On(now, from, m); }, message);
}

void Raft::On(Time now, const NodeId& from, const AppendEntriesRequest& m) {
  if (m.term < promise_.term) return Post(from, AppendEntriesResponse{promise_.term, m.beat, false, 0});
  if (role_ == Role::kLeader && m.term == promise_.term) return;  // there is one a term
  Follow(now, m.term, from);
  heard_at_ = now;
  RestElection(now);
  if (m.prev_index > last() && set_.guards.match)
    return Post(from, AppendEntriesResponse{promise_.term, m.beat, false, last()});
  if (m.prev_index >= snapshot_.index && TermAt(m.prev_index) != m.prev_term && set_.guards.match) {
    // Back to before that term, at once.
    Index back = m.prev_index;
    const Term other = TermAt(back);
    while (back > snapshot_.index && back > commit_ && TermAt(back) == other) --back;
    return Post(from, AppendEntriesResponse{promise_.term, m.beat, false, back});
  }
  Index keep_to = last();
  std::vector<Entry> fresh;
  for (const Entry& entry : m.entries) {
    if (entry.index <= snapshot_.index || entry.index > last() + 1) continue;
    if (fresh.empty() && entry.index <= last() && TermAt(entry.index) == entry.term) continue;
    if (fresh.empty()) {
      keep_to = entry.index - 1;
      log_.resize(keep_to - snapshot_.index);
    }
    log_.push_back(entry);
    fresh.push_back(entry);
  }
  if (!fresh.empty()) {
    Keep(keep_to, std::move(fresh));
    TakeVoters();
  }
  const Index match = std::max(m.prev_index, m.entries.empty() ? 0 : m.entries.back().index);
  const Index commit = std::min({m.commit, match, last()});
  if (commit > commit_) {
    commit_ = commit;
    Apply();
  }
  Post(from, AppendEntriesResponse{promise_.term, m.beat, true, std::min(match, last())});
}

void Raft::On(Time now, const NodeId& from, const AppendEntriesResponse& m) {
  if (m.term > promise_.term) return Follow(now, m.term, {});
  const auto it = progress_.find(from);
  if (role_ != Role::kLeader || m.term < promise_.term || it == progress_.end()) return;
  Progress& progress = it->second;
  if (m.ok) {
    progress.match = std::max(progress.match, std::min(m.match, last()));
    progress.sent = std::max(progress.sent, progress.match);
  } else {
    progress.sent = std::max(progress.match, std::min(m.match, last()));
  }
  progress.beat = std::max(progress.beat, m.beat);
  // The newest beat that a majority has answered: nobody else was elected until some time after it was sent.
  std::vector<std::uint64_t> answered;
  for (const NodeId& voter : voters_)
    answered.push_back(voter == self_ ? beat_ : progress_.contains(voter) ? progress_.at(voter).beat : 0);
  std::sort(answered.begin(), answered.end(), std::greater<>());
  if (const auto sent = beats_sent_.find(answered[Majority() - 1]); sent != beats_sent_.end()) {
    majority_at_ = std::max(majority_at_, sent->second);
    majority_ = true;
    beats_sent_.erase(beats_sent_.begin(), sent);
  }
  Advance(now);
  if (role_ == Role::kLeader && progress_.contains(from)) Replicate(from, false);
}

void Raft::On(Time now, const NodeId& from, const InstallSnapshotRequest& m) {
  if (m.term < promise_.term) return Post(from, AppendEntriesResponse{promise_.term, m.beat, false, 0});
  if (role_ == Role::kLeader && m.term == promise_.term) return;
  Follow(now, m.term, from);
  heard_at_ = now;
  RestElection(now);
  if (m.snapshot.index > commit_) {
    const bool follows = m.snapshot.index < last() && TermAt(m.snapshot.index) == m.snapshot.term;
    if (follows)
      log_.erase(log_.begin(),
                 log_.begin() + static_cast<std::ptrdiff_t>(m.snapshot.index - snapshot_.index));
    else
      log_.clear();
    snapshot_ = m.snapshot;
    commit_ = applied_ = snapshot_.index;
    TakeVoters();
    KeepWhole();
    outputs_.push_back(SnapshotInstalled{snapshot_});
  }
  Post(from, AppendEntriesResponse{promise_.term, m.beat, true, std::max(commit_, m.snapshot.index)});
}

void Raft::On(Time now, const NodeId& from, const TimeoutNowRequest& m) {
  if (m.term != promise_.term || role_ != Role::kFollower || from != leader_ || !Votes()) return;
  Campaign(now, true);
}

// ---- For a search of states ----

std::string Raft::Canonical() const {
  std::string out;
  const auto put = [&out](auto value) { out += std::to_string(value) + ","; };
  const auto text = [&out](const std::string& value) { out += value + ";"; };
  put(static_cast<int>(role_));
  put(promise_.term);
  text(promise_.voted_for);
  text(leader_);
  put(commit_);
  put(snapshot_.index);
  put(snapshot_.term);
  for (const Entry& entry : log_) {
    put(entry.term);
    put(static_cast<int>(entry.kind));
    text(entry.data);
    for (const NodeId& voter : entry.voters) text(voter);
  }
  for (const NodeId& name : granted_) text(name);
  if (role_ == Role::kLeader) {
    for (const auto& [name, progress] : progress_) {
      text(name);
      put(progress.match);
      put(progress.sent);
    }
  }
  if (newcomer_) text("new" + *newcomer_);
  put(number_ - kept_);
  put(durable_);
  for (const Pending& pending : pending_) put(pending.truncate_after), put(pending.last);
  return out;
}

}  // namespace lemoncroft::raft
