// One voter of a replicated log, or one that is being brought up to be one.
//
// Contract. No I/O, no clock, deterministic: every call is passed the time of one monotonic clock; what has
// to be stored or sent comes as outputs, in order, and a message waits for what it rests on to be durable
// (Send::after), which the owner tells by OnPersisted. The same restored state, seed and calls give the same
// outputs. docs/agreement.md is the design. Owner: one thread at a time. Units: spans of time; indices.
// Errors: messages may be lost, late, doubled and out of order; what contradicts the protocol is dropped.
// Source: Raft (Ongaro, Ousterhout 2014; Ongaro's thesis 2014).
#ifndef LEMONCROFT_RAFT_RAFT_H_
#define LEMONCROFT_RAFT_RAFT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "raft/types.h"

namespace lemoncroft::raft {

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };  // kAsking: would it be voted for?
enum class ProposalError { kNone, kNotLeader, kEntryTooLarge, kChangeInProgress };

struct ProposalResult {
  ProposalError error = ProposalError::kNone;
  Index index = 0;  // committed as this, if an entry of that term is committed there
  Term term = 0;
};

class Raft {
 public:
  // `restored`: what was durable when this voter ended; of a new one only the snapshot's voters.
  Raft(const Options& options, NodeId self, PersistentState restored, std::uint64_t seed, Time now);

  void Tick(Time now);
  Time NextDeadline() const;
  void Receive(Time now, const NodeId& from, const Message& message);
  void OnPersisted(Time now, std::uint64_t sequence);  // all up to that one is durable
  std::vector<Output> TakeOutputs();

  ProposalResult Propose(Time now, std::string data);
  // One voter more or less. A newcomer is brought up to the log first; kNotYet: another change is under way,
  // or nothing of this leader's term is committed yet.
  ProposalResult ChangeVoters(Time now, const NodeId& who, bool in);
  // Ends this leadership in favour of the voter whose log is longest.
  void TransferLeadership(Time now);
  // All up to `index`, which is committed, came to `data`: the log up to there is dropped.
  void Compact(Index index, std::string data);

  // Whether it may act as the leader at this instant: nobody else can be one.
  bool HoldsLeaderLease(Time now) const;
  // It has committed something of its own term: it knows all that any leader before it committed.
  bool HasCommittedInTerm() const {
    return role_ == Role::kLeader && TermAt(commit_index_) == hard_state_.term;
  }
  Role role() const { return role_; }
  Term term() const { return hard_state_.term; }
  const NodeId& leader() const { return leader_; }  // empty: none is known
  Index commit_index() const { return commit_index_; }
  Index last_index() const { return snapshot_.index + log_.size(); }
  const std::vector<NodeId>& voters() const { return voters_; }
  bool AreVotersCommitted() const { return voters_index_ <= commit_index_; }
  const std::vector<Entry>& log() const { return log_; }
  const Snapshot& snapshot() const { return snapshot_; }
  const HardState& hard_state() const { return hard_state_; }
  // All that decides what it does next but for times and beats, for a search of states.
  std::string Canonical() const;

 private:
  struct Progress {
    Index match_index = 0;
    Index last_sent_index = 0;  // up to here, since the last beat
    std::uint64_t acked_round = 0;
  };
  struct PendingUpdate {
    std::uint64_t sequence = 0;
    Index truncate_after = 0, last_index = 0;
  };

  bool IsVoter() const;  // it is one of the voters
  std::size_t Majority() const { return voters_.size() / 2 + 1; }
  Term TermAt(Index index) const;
  const Entry& EntryAt(Index index) const { return log_[index - snapshot_.index - 1]; }

  void PersistEntries(Index truncate_after, std::vector<Entry> entries);
  void PersistSnapshot();
  void Send(const NodeId& to, Message message);
  void ResetElectionTimer(Time now);
  void BecomeFollower(Time now, Term term, const NodeId& leader);
  void StartPreVote(Time now);
  void StartElection(Time now, bool leadership_transfer);
  void BecomeLeader(Time now);
  void BroadcastHeartbeat(Time now);
  void SendAppend(const NodeId& to, bool again);
  void SendNewEntries();
  void AdvanceCommit(Time now);  // commitment, the newcomer
  void DeliverCommitted();
  void AppendAsLeader(Time now, Entry entry);
  void ReloadVoters();

  void Handle(Time now, const NodeId& from, const VoteRequest& m);
  void Handle(Time now, const NodeId& from, const VoteResponse& m);
  void Handle(Time now, const NodeId& from, const AppendEntriesRequest& m);
  void Handle(Time now, const NodeId& from, const AppendEntriesResponse& m);
  void Handle(Time now, const NodeId& from, const InstallSnapshotRequest& m);
  void Handle(Time now, const NodeId& from, const TimeoutNowRequest& m);
  bool IsLogUpToDate(const VoteRequest& m) const;
  bool DisturbsLeader(Time now, const VoteRequest& m) const;

  Options options_;
  NodeId self_;
  std::minstd_rand random_;  // small: a search of states copies it

  HardState hard_state_;
  Snapshot snapshot_;
  std::vector<Entry> log_;
  std::vector<NodeId> voters_;
  Index voters_index_ = 0;  // index of the entry that named them

  Role role_ = Role::kFollower;
  NodeId leader_;
  Index commit_index_ = 0, applied_index_ = 0;
  std::set<NodeId> votes_granted_;
  std::map<NodeId, Progress> progress_;  // of a leader, itself left out
  std::optional<NodeId> joining_voter_;

  Time election_deadline_{}, last_leader_contact_{}, heartbeat_deadline_ = kNever;
  std::uint64_t heartbeat_round_ = 0;
  std::map<std::uint64_t, Time> heartbeat_sent_at_;
  Time last_quorum_contact_{};  // when the newest beat was sent that a majority has answered
  bool quorum_contacted_ = false;

  std::uint64_t last_sequence_ = 0, persisted_sequence_ = 0;  // of stores: issued, durable
  std::uint64_t vote_sequence_ = 0;                           // the one with the vote for itself in this term
  std::deque<PendingUpdate> pending_updates_;
  Index durable_index_ = 0;  // of the log as it is now
  std::vector<Output> outputs_;
};

}  // namespace lemoncroft::raft

#endif  // LEMONCROFT_RAFT_RAFT_H_
