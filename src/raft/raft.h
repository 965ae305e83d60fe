// One node of a Raft cluster as a deterministic state machine, in the manner of etcd/raft.
//
// Contract. No I/O and no clock: each call is passed the current time of one monotonic clock. Calls append
// outputs (storage updates, messages, committed entries); the owner takes them by TakeOutputs after each call
// and processes them in order. It persists storage updates in the order of their sequence numbers and reports
// each by OnPersisted; it sends a message only once all updates up to SendMessage::after_sequence are
// durable. The same restored state, seed and calls give the same outputs. Owner: one thread at a time. Units:
// durations; log indices. Errors: ProposalError; messages may be lost, delayed, duplicated and reordered, and
// a message that contradicts the protocol is ignored. Source: as raft/types.h; docs/agreement.md has the
// design.
//
// A node that is not one of the voters is passive: it stores what a leader sends, and starts no elections.
//
// The implementation is in raft.cpp (construction, timers, outputs), raft_election.cpp, raft_replication.cpp,
// raft_membership.cpp and raft_snapshot.cpp.
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

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

enum class ProposalError {
  kNone,
  kNotLeader,
  kEntryTooLarge,
  kChangeInProgress,  // also: the leader has committed nothing in its term yet, or the last voter would go
};

// The proposal is committed if the entry that is committed at `index` is of `term`.
struct ProposalResult {
  ProposalError error = ProposalError::kNone;
  Index index = 0;
  Term term = 0;
};

class Raft {
 public:
  // `restored` is what was durable when this node stopped. A new node has only a snapshot with the voters.
  Raft(const Options& options, NodeId self, PersistentState restored, std::uint64_t seed, Time now);

  // Runs the timers that are due. Call it at NextDeadline.
  void Tick(Time now);
  // When Tick has something to do next; changes with any call. kNever: not before another call.
  Time NextDeadline() const;
  void Receive(Time now, const NodeId& from, const Message& message);
  // All storage updates up to and including `sequence` are durable.
  void OnPersisted(Time now, std::uint64_t sequence);
  // The outputs since the last call, in order.
  [[nodiscard]] std::vector<Output> TakeOutputs();

  // Appends an entry to the log, if this node leads.
  ProposalResult Propose(Time now, std::string data);
  // Adds or removes one voter. A voter to be added is brought up to date first, without a vote; the change is
  // appended when it is (`index` is 0 until then).
  ProposalResult ChangeVoters(Time now, const NodeId& id, bool add);
  // Ends this node's leadership in favour of the voter with the longest log. No-op for others.
  void TransferLeadership(Time now);
  // Replaces the log up to `index`, which must be committed, by a snapshot with `data`.
  void Compact(Index index, std::string data);

  // Whether this node may act as leader now: the lease excludes any other leader.
  bool HoldsLeaderLease(Time now) const;
  // Whether this leader has committed an entry of its term, and so knows all that was committed before it.
  bool HasCommittedInTerm() const {
    return role_ == Role::kLeader && TermAt(commit_index_) == hard_state_.term;
  }
  Role role() const { return role_; }
  Term term() const { return hard_state_.term; }
  const NodeId& leader() const { return leader_; }  // empty: not known
  Index commit_index() const { return commit_index_; }
  Index last_index() const { return snapshot_.index + log_.size(); }
  const std::vector<NodeId>& voters() const { return voters_; }  // by the newest entry, committed or not
  bool AreVotersCommitted() const { return voters_index_ <= commit_index_; }
  const std::vector<Entry>& log() const { return log_; }  // after the snapshot
  const Snapshot& snapshot() const { return snapshot_; }
  const HardState& hard_state() const { return hard_state_; }
  // The state without times and heartbeat rounds as a text, equal for equal states. For model checking.
  std::string CanonicalState() const;

 private:
  // What a leader knows of another node.
  struct Progress {
    Index match_index = 0;      // the logs agree up to here
    Index last_sent_index = 0;  // sent since the last heartbeat, perhaps not received
    std::uint64_t acked_round = 0;
  };
  // A storage update that is not durable yet.
  struct PendingUpdate {
    std::uint64_t sequence = 0;
    Index truncate_after = 0;
    Index last_index = 0;  // of the log after the update
  };
  enum class AppendMode {
    kNewEntries,  // from the last sent entry on, nothing if there is none
    kHeartbeat,   // from the last acknowledged entry on, also without entries
  };

  std::size_t Majority() const { return voters_.size() / 2 + 1; }
  Term TermAt(Index index) const;  // 0 if the entry is not there
  const Entry& EntryAt(Index index) const { return log_[index - snapshot_.index - 1]; }

  // ---- raft.cpp: outputs ----
  // Persists the hard state and replaces the stored log after truncate_after.
  void PersistEntries(Index truncate_after, std::vector<Entry> entries);
  void PersistSnapshot();
  void Send(const NodeId& to, Message message);
  void DeliverCommitted();

  // ---- raft_election.cpp ----
  void ResetElectionTimer(Time now);
  void BecomeFollower(Time now, Term term, const NodeId& leader);
  void FollowLeader(Time now, Term term, const NodeId& leader);
  void StartPreVote(Time now);
  void StartElection(Time now, bool leadership_transfer);
  void BecomeLeader(Time now);
  bool IsLogUpToDate(const VoteRequest& request) const;
  bool DisturbsLeader(Time now, const VoteRequest& request) const;
  void Handle(Time now, const NodeId& from, const VoteRequest& request);
  void Handle(Time now, const NodeId& from, const VoteResponse& response);
  void Handle(Time now, const NodeId& from, const TimeoutNowRequest& request);

  // ---- raft_replication.cpp ----
  void AppendAsLeader(Time now, Entry entry);
  void BroadcastHeartbeat(Time now);
  void SendAppend(const NodeId& to, AppendMode mode);
  void SendNewEntries();
  Index QuorumIndex() const;
  void AdvanceCommit(Time now);
  void UpdateQuorumContact();
  std::optional<Index> FindConflict(const AppendEntriesRequest& request) const;
  void AppendFromLeader(const std::vector<Entry>& entries);
  void Handle(Time now, const NodeId& from, const AppendEntriesRequest& request);
  void Handle(Time now, const NodeId& from, const AppendEntriesResponse& response);

  // ---- raft_membership.cpp ----
  bool IsVoter() const;
  void ReloadVoters();
  ProposalResult AddVoter(Time now, const NodeId& id);
  ProposalResult RemoveVoter(Time now, const NodeId& id);
  void PromoteJoiningVoter(Time now);
  void StepDownAfterRemoval(Time now);

  // ---- raft_snapshot.cpp ----
  void InstallSnapshot(const Snapshot& snapshot);
  void Handle(Time now, const NodeId& from, const InstallSnapshotRequest& request);

  Options options_;
  NodeId self_;
  std::minstd_rand random_;  // a small generator, since model checking copies this object for each state

  HardState hard_state_;
  Snapshot snapshot_;
  std::vector<Entry> log_;
  std::vector<NodeId> voters_;
  Index voters_index_ = 0;  // of the entry or snapshot that set voters_

  Role role_ = Role::kFollower;
  NodeId leader_;
  Index commit_index_ = 0;
  Index applied_index_ = 0;              // delivered as Committed
  std::set<NodeId> votes_granted_;       // of a (pre-)candidate
  std::map<NodeId, Progress> progress_;  // of a leader, without itself
  std::optional<NodeId> joining_voter_;  // is brought up to date before it becomes a voter

  Time election_deadline_{};
  Time last_leader_contact_{};
  Time heartbeat_deadline_ = kNever;
  std::uint64_t heartbeat_round_ = 0;
  std::map<std::uint64_t, Time> heartbeat_sent_at_;  // by round
  Time last_quorum_contact_{};     // when the newest round that a majority has acknowledged was sent
  bool quorum_contacted_ = false;  // in this leadership; before that last_quorum_contact_ gives no lease

  std::uint64_t last_sequence_ = 0;  // of storage updates
  std::uint64_t persisted_sequence_ = 0;
  std::uint64_t vote_sequence_ = 0;  // of the update with this candidate's vote for itself
  std::deque<PendingUpdate> pending_updates_;
  Index durable_index_ = 0;  // up to here the current log is durable
  std::vector<Output> outputs_;
};

}  // namespace lemoncroft::raft

#endif  // LEMONCROFT_RAFT_RAFT_H_
