// One node of a Raft cluster as a deterministic state machine, in the manner of etcd/raft.
//
// The node does no I/O and reads no clock: the host passes the current time of one monotonic clock to each
// call. Calls append outputs (storage updates, messages, committed entries). After each call the host takes
// them with TakeOutputs and processes them in order: it persists storage updates in the order of their
// sequence numbers and reports each with OnPersisted, and it sends a message only once all updates up to
// SendMessage::after_sequence are durable. The same restored state, seed and calls give the same outputs.
//
// Messages may be lost, delayed, duplicated and reordered. A message that contradicts the protocol is
// ignored.
//
// Not thread-safe: only one thread at a time may use an object.
//
// A node that is not a voter is passive: it stores the entries that a leader sends and starts no elections.
//
// References: see raft/types.h; docs/agreement.md describes the design.
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
  // A membership change is in progress, the leader has not committed an entry of its term yet, or the change
  // would remove the last voter.
  kChangeNotPossible,
};

// The proposal is committed if the entry that is committed at `index` has the term `term`. ChangeVoters
// states where its result differs.
struct ProposalResult {
  ProposalError error = ProposalError::kNone;
  Index index = 0;
  Term term = 0;
};

class Raft {
 public:
  // `restored` is the state that was durable when this node stopped. For a new node it contains only a
  // snapshot with the voters.
  Raft(const Options& options, NodeId self, PersistentState restored, std::uint64_t seed, Time now);

  // Runs the timers that are due. The host calls it at NextDeadline.
  void Tick(Time now);
  // Returns the time at which Tick must be called next, or kNever if no timer is set. Any call may change it.
  Time NextDeadline() const;
  void Receive(Time now, const NodeId& from, const Message& message);
  // Reports that all storage updates up to and including `sequence` are durable.
  void OnPersisted(Time now, std::uint64_t sequence);
  // Returns the outputs since the last call, in order.
  [[nodiscard]] std::vector<Output> TakeOutputs();

  // Appends an entry to the log if this node is the leader.
  ProposalResult Propose(Time now, std::string data);
  // Adds or removes one voter. If the newest voters already include or exclude `id` as requested, `index` is
  // that of the membership entry or snapshot which they come from, and its term may differ from `term`. A
  // node to be added first catches up as a learner, without a vote; the membership change is appended once it
  // has. In that case `index` is 0 and the index of the change is not reported.
  ProposalResult ChangeVoters(Time now, const NodeId& id, bool add);
  // Steps down in favor of the voter with the highest match index. Does nothing if this node is not the
  // leader or there is no other voter.
  void TransferLeadership(Time now);
  // Replaces the log up to and including `index`, which must be committed, by a snapshot with `data`.
  void Compact(Index index, std::string data);

  // Returns true if this node holds the leader lease, which excludes any other leader: it may act as leader
  // now.
  bool HoldsLeaderLease(Time now) const;
  // Returns true if this leader has committed an entry of its term, and so knows all earlier committed
  // entries.
  bool HasCommittedInTerm() const {
    return role_ == Role::kLeader && TermAt(commit_index_) == hard_state_.term;
  }
  Role role() const { return role_; }
  Term term() const { return hard_state_.term; }
  const NodeId& leader() const { return leader_; }  // empty if unknown
  Index commit_index() const { return commit_index_; }
  Index last_index() const { return snapshot_.index + log_.size(); }
  // The voters as of the newest membership entry, committed or not.
  const std::vector<NodeId>& voters() const { return voters_; }
  bool AreVotersCommitted() const { return voters_index_ <= commit_index_; }
  const std::vector<Entry>& log() const { return log_; }  // the entries after the snapshot
  const Snapshot& snapshot() const { return snapshot_; }
  const HardState& hard_state() const { return hard_state_; }
  // Returns the state as a text for the model checker, without times and heartbeat rounds. Equal states have
  // equal texts.
  std::string CanonicalState() const;

 private:
  // The leader's view of another node's log.
  struct Progress {
    Index match_index = 0;  // the last index up to which the logs are known to agree
    // New entries are sent from the one after this index. Sending advances it, a heartbeat resets it to
    // match_index, and a rejection sets it to the follower's hint, but not below match_index.
    Index last_sent_index = 0;
    std::uint64_t acked_round = 0;  // the newest heartbeat round that the node has acknowledged
  };
  // A storage update that is not durable yet.
  struct PendingUpdate {
    std::uint64_t sequence = 0;
    Index truncate_after = 0;
    Index last_index = 0;  // the last index of the log after the update
  };
  enum class AppendMode {
    // Sends the entries after last_sent_index. Sends nothing if there are none, or if the follower needs
    // entries that were compacted.
    kNewEntries,
    // Sends the entries after match_index, or a message without entries if there are none. Sends the snapshot
    // instead if the follower needs entries that were compacted.
    kHeartbeat,
  };

  std::size_t Majority() const { return voters_.size() / 2 + 1; }
  Term TermAt(Index index) const;  // 0 if the log does not contain the entry
  const Entry& EntryAt(Index index) const { return log_[index - snapshot_.index - 1]; }

  // ---- raft.cpp: outputs ----
  // Emits a storage update with the hard state that replaces the stored log after truncate_after by
  // `entries`.
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
  Index voters_index_ = 0;  // the index of the entry or snapshot that voters_ comes from

  Role role_ = Role::kFollower;
  NodeId leader_;
  Index commit_index_ = 0;
  Index applied_index_ = 0;              // the last entry that was emitted as Committed
  std::set<NodeId> votes_granted_;       // to this (pre-)candidate
  std::map<NodeId, Progress> progress_;  // leader only: the other nodes that it replicates to
  std::optional<NodeId> joining_voter_;  // a learner that becomes a voter once it has caught up

  Time election_deadline_{};
  Time last_leader_contact_{};
  Time heartbeat_deadline_ = kNever;
  std::uint64_t heartbeat_round_ = 0;
  std::map<std::uint64_t, Time> heartbeat_sent_at_;  // by round
  Time last_quorum_contact_{};  // the time at which the newest round that a majority acknowledged was sent
  // True once a majority has acknowledged a round of this leadership. Until then last_quorum_contact_ grants
  // no lease.
  bool quorum_contacted_ = false;

  std::uint64_t last_sequence_ = 0;  // the sequence number of the last storage update
  std::uint64_t persisted_sequence_ = 0;
  std::uint64_t vote_sequence_ = 0;  // the storage update with this candidate's vote for itself
  std::deque<PendingUpdate> pending_updates_;
  Index durable_index_ = 0;  // the current log is durable up to and including this index
  std::vector<Output> outputs_;
};

}  // namespace lemoncroft::raft

#endif  // LEMONCROFT_RAFT_RAFT_H_
