#include <algorithm>

#include "raft/raft.h"

namespace lemoncroft::raft {

void Raft::ResetElectionTimer(Time now) {
  const auto spread =
      static_cast<std::uint64_t>((options_.max_election_timeout - options_.min_election_timeout).count());
  election_deadline_ =
      now + options_.min_election_timeout + Duration(static_cast<Duration::rep>(random_() % (spread + 1)));
}

bool Raft::HoldsLeaderLease(Time now) const {
  if (role_ != Role::kLeader || !quorum_contacted_) return false;
  const double least = static_cast<double>(options_.min_election_timeout.count()) *
                       (1 - 2 * options_.max_clock_rate_difference);
  return now < last_quorum_contact_ + Duration(static_cast<Duration::rep>(least));
}

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

void Raft::Handle(Time now, const NodeId& from, const TimeoutNowRequest& m) {
  if (m.term != hard_state_.term || role_ != Role::kFollower || from != leader_ || !IsVoter()) return;
  StartElection(now, true);
}

}  // namespace lemoncroft::raft
