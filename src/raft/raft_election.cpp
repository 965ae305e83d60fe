// Raft elections with pre-vote, the leader lease and leadership transfer.
#include <algorithm>

#include "raft/raft.h"

namespace lemoncroft::raft {

void Raft::ResetElectionTimer(Time now) {
  const auto range =
      static_cast<std::uint64_t>((options_.max_election_timeout - options_.min_election_timeout).count());
  election_deadline_ =
      now + options_.min_election_timeout + Duration(static_cast<Duration::rep>(random_() % (range + 1)));
}

// A voter that acknowledges a heartbeat grants no vote for the minimum election timeout, measured by its own
// clock from the acknowledgement. The leader measures the lease by its own clock from the earlier time at
// which it sent the heartbeat, so no other leader can be elected before the lease ends. The factor
// compensates for clocks that run at different rates.
bool Raft::HoldsLeaderLease(Time now) const {
  if (role_ != Role::kLeader || !quorum_contacted_) return false;
  const double lease_ns = static_cast<double>(options_.min_election_timeout.count()) *
                          (1 - 2 * options_.max_clock_rate_difference);
  return now < last_quorum_contact_ + Duration(static_cast<Duration::rep>(lease_ns));
}

// ---- Roles ----

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

// Called for each message from the leader of the current or a newer term.
void Raft::FollowLeader(Time now, Term term, const NodeId& leader) {
  BecomeFollower(now, term, leader);
  last_leader_contact_ = now;
  ResetElectionTimer(now);
}

void Raft::StartPreVote(Time now) {
  ResetElectionTimer(now);
  role_ = Role::kPreCandidate;
  leader_.clear();
  votes_granted_ = {self_};
  for (const NodeId& voter : voters_) {
    if (voter == self_) continue;
    Send(voter, VoteRequest{true, false, hard_state_.term + 1, last_index(), TermAt(last_index())});
  }
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
  // The candidate's vote for itself is sent as a message, so that it also counts only once it is durable.
  Send(self_, VoteResponse{false, hard_state_.term, true});
  for (const NodeId& voter : voters_) {
    if (voter == self_) continue;
    Send(voter,
         VoteRequest{false, leadership_transfer, hard_state_.term, last_index(), TermAt(last_index())});
  }
}

void Raft::BecomeLeader(Time now) {
  role_ = Role::kLeader;
  leader_ = self_;
  votes_granted_.clear();
  progress_.clear();
  for (const NodeId& voter : voters_)
    if (voter != self_) progress_[voter] = {0, last_index(), 0};
  quorum_contacted_ = false;
  last_quorum_contact_ = now;  // starts the check_quorum timeout; grants no lease until quorum_contacted_
  heartbeat_sent_at_.clear();
  // Committing this entry also commits all entries of earlier terms.
  AppendAsLeader(now, {0, 0, EntryKind::kNoOp, {}, {}});
  BroadcastHeartbeat(now);
}

void Raft::TransferLeadership(Time now) {
  if (role_ != Role::kLeader) return;
  const NodeId* successor = nullptr;
  for (const NodeId& voter : voters_) {
    if (voter == self_) continue;
    if (successor == nullptr || progress_.at(voter).match_index > progress_.at(*successor).match_index)
      successor = &voter;
  }
  if (successor == nullptr) return;
  const NodeId to = *successor;
  SendAppend(to, AppendMode::kHeartbeat);
  Send(to, TimeoutNowRequest{hard_state_.term});
  // From now on the successor may be elected at any time, in spite of the lease.
  if (options_.safety_checks.release_lease_on_transfer) BecomeFollower(now, hard_state_.term, {});
}

// ---- Votes ----

bool Raft::IsLogUpToDate(const VoteRequest& request) const {
  if (!options_.safety_checks.require_up_to_date_log) return true;
  const Term last_term = TermAt(last_index());
  return request.last_term != last_term ? request.last_term > last_term : request.last_index >= last_index();
}

// Returns true if the request must be refused because another leader, or this node as the leader, may still
// hold a lease (thesis, section 4.2.3). Requests of a leadership transfer are never refused for this reason.
bool Raft::DisturbsLeader(Time now, const VoteRequest& request) const {
  if (request.leadership_transfer || !options_.safety_checks.leader_stickiness) return false;
  const Time contact = role_ == Role::kLeader ? last_quorum_contact_ : last_leader_contact_;
  return now < contact + options_.min_election_timeout;
}

void Raft::Handle(Time now, const NodeId& from, const VoteRequest& request) {
  if (DisturbsLeader(now, request))
    return Send(from, VoteResponse{request.pre_vote, hard_state_.term, false});
  if (request.pre_vote) {
    const bool granted = request.term > hard_state_.term && IsLogUpToDate(request);
    return Send(from, VoteResponse{true, granted ? request.term : hard_state_.term, granted});
  }
  if (request.term > hard_state_.term) BecomeFollower(now, request.term, {});
  const bool may_vote = hard_state_.voted_for.empty() || hard_state_.voted_for == from ||
                        !options_.safety_checks.single_vote_per_term;
  const bool granted = request.term == hard_state_.term && may_vote && IsLogUpToDate(request);
  if (granted) {
    ResetElectionTimer(now);
    if (hard_state_.voted_for != from) {
      hard_state_.voted_for = from;
      PersistEntries(last_index(), {});
    }
  }
  Send(from, VoteResponse{false, hard_state_.term, granted});
}

void Raft::Handle(Time now, const NodeId& from, const VoteResponse& response) {
  if (!response.granted && response.term > hard_state_.term) return BecomeFollower(now, response.term, {});
  const bool current = response.pre_vote
                           ? role_ == Role::kPreCandidate && response.term == hard_state_.term + 1
                           : role_ == Role::kCandidate && response.term == hard_state_.term;
  if (!current || !response.granted) return;
  if (std::find(voters_.begin(), voters_.end(), from) == voters_.end()) return;
  votes_granted_.insert(from);
  if (votes_granted_.size() < Majority()) return;
  if (response.pre_vote)
    StartElection(now, false);
  else
    BecomeLeader(now);
}

void Raft::Handle(Time now, const NodeId& from, const TimeoutNowRequest& request) {
  if (request.term != hard_state_.term || role_ != Role::kFollower || from != leader_ || !IsVoter()) return;
  StartElection(now, true);
}

}  // namespace lemoncroft::raft
