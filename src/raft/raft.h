// One voter of a replicated log, or one that is being brought up to be one.
//
// Contract. No I/O, no clock, deterministic: every call is passed the time of one monotonic clock; what has
// to be stored or sent comes as outputs, in order, and a message waits for what it rests on to be durable
// (Send::after), which the owner tells by Stored. The same restored state, seed and calls give the same
// outputs. docs/agreement.md is the design. Owner: one thread at a time. Units: spans of time; indices.
// Errors: messages may be lost, late, doubled and out of order; what contradicts the protocol is dropped.
// Source: Raft (Ongaro, Ousterhout 2014; Ongaro's thesis 2014).
#ifndef LEMONCROFT_AGREEMENT_RAFT_H_
#define LEMONCROFT_AGREEMENT_RAFT_H_

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
  ProposalError refusal = ProposalError::kNone;
  Index index = 0;  // committed as this, if an entry of that term is committed there
  Term term = 0;
};

class Raft {
 public:
  // `restored`: what was durable when this voter ended; of a new one only the snapshot's voters.
  Raft(const Options& settings, NodeId self, PersistentState restored, std::uint64_t seed, Time now);

  void Step(Time now);
  Time due() const;
  void Receive(Time now, const NodeId& from, const Message& message);
  void Stored(Time now, std::uint64_t number);  // all up to that one is durable
  std::vector<Output> Take();

  ProposalResult Propose(Time now, std::string data);
  // One voter more or less. A newcomer is brought up to the log first; kNotYet: another change is under way,
  // or nothing of this leader's term is committed yet.
  ProposalResult ChangeVoters(Time now, const NodeId& who, bool in);
  // Ends this leadership in favour of the voter whose log is longest.
  void Resign(Time now);
  // All up to `index`, which is committed, came to `data`: the log up to there is dropped.
  void Compact(Index index, std::string data);

  // Whether it may act as the leader at this instant: nobody else can be one.
  bool Leads(Time now) const;
  // It has committed something of its own term: it knows all that any leader before it committed.
  bool Settled() const { return role_ == Role::kLeader && TermAt(commit_) == promise_.term; }
  Role role() const { return role_; }
  Term term() const { return promise_.term; }
  const NodeId& leader() const { return leader_; }  // empty: none is known
  Index commit() const { return commit_; }
  Index last() const { return snapshot_.index + log_.size(); }
  const std::vector<NodeId>& voters() const { return voters_; }
  bool VotersCommitted() const { return voters_at_ <= commit_; }
  const std::vector<Entry>& log() const { return log_; }
  const Snapshot& snapshot() const { return snapshot_; }
  const HardState& promise() const { return promise_; }
  // All that decides what it does next but for times and beats, for a search of states.
  std::string Canonical() const;

 private:
  struct Progress {
    Index match = 0;
    Index sent = 0;  // up to here, since the last beat
    std::uint64_t beat = 0;
  };
  struct Pending {
    std::uint64_t number = 0;
    Index truncate_after = 0, last = 0;
  };

  bool Votes() const;  // it is one of the voters
  std::size_t Majority() const { return voters_.size() / 2 + 1; }
  Term TermAt(Index index) const;
  const Entry& At(Index index) const { return log_[index - snapshot_.index - 1]; }
  Index FirstUnsure() const;  // of a change of voters: its index, or 0

  void Keep(Index keep_to, std::vector<Entry> entries);
  void KeepWhole();
  void Post(const NodeId& to, Message message);
  void RestElection(Time now);
  void Follow(Time now, Term term, const NodeId& leader);
  void Ask(Time now);
  void Campaign(Time now, bool handed);
  void Win(Time now);
  void Beat(Time now);
  void Replicate(const NodeId& to, bool again);
  void ReplicateAll();
  void Advance(Time now);  // commitment, the newcomer
  void Apply();
  void AppendOwn(Time now, Entry entry);
  void TakeVoters();

  void On(Time now, const NodeId& from, const VoteRequest& m);
  void On(Time now, const NodeId& from, const VoteResponse& m);
  void On(Time now, const NodeId& from, const AppendEntriesRequest& m);
  void On(Time now, const NodeId& from, const AppendEntriesResponse& m);
  void On(Time now, const NodeId& from, const InstallSnapshotRequest& m);
  void On(Time now, const NodeId& from, const TimeoutNowRequest& m);
  bool UpToDate(const VoteRequest& m) const;
  bool Disturbs(Time now, const VoteRequest& m) const;

  Options set_;
  NodeId self_;
  std::minstd_rand random_;  // small: a search of states copies it

  HardState promise_;
  Snapshot snapshot_;
  std::vector<Entry> log_;
  std::vector<NodeId> voters_;
  Index voters_at_ = 0;  // index of the entry that named them

  Role role_ = Role::kFollower;
  NodeId leader_;
  Index commit_ = 0, applied_ = 0;
  std::set<NodeId> granted_;
  std::map<NodeId, Progress> progress_;  // of a leader, itself left out
  std::optional<NodeId> newcomer_;

  Time election_at_{}, heard_at_{}, beat_at_ = kNever;
  std::uint64_t beat_ = 0;
  std::map<std::uint64_t, Time> beats_sent_;
  Time majority_at_{};  // when the newest beat was sent that a majority has answered
  bool majority_ = false;

  std::uint64_t number_ = 0, kept_ = 0;  // of stores: issued, durable
  std::uint64_t promised_ = 0;           // the one with the vote for itself in this term
  std::deque<Pending> pending_;
  Index durable_ = 0;  // of the log as it is now
  std::vector<Output> outputs_;
};

}  // namespace lemoncroft::raft

#endif  // LEMONCROFT_AGREEMENT_RAFT_H_
