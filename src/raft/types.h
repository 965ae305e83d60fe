// The values that the voters of a replicated log store and exchange.
//
// Contract. Plain values without I/O or clock. Owner: none. Units: durations; log indices from 1, 0 for the
// position before the first entry. The field order of messages, entries and HardState is their encoding's;
// see raft/codec.h. Source: Ongaro, Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014);
// Ongaro, "Consensus: Bridging Theory and Practice" (2014), sections 3.10 (leadership transfer), 4.1
// (single-server membership changes), 6.4 (leader lease) and 9.6 (pre-vote).
#ifndef LEMONCROFT_RAFT_TYPES_H_
#define LEMONCROFT_RAFT_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lemoncroft::raft {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
inline constexpr Time kNever = Time::max();

using NodeId = std::string;  // empty: no node
using Term = std::uint64_t;
using Index = std::uint64_t;

// ---- The log and what of it must be durable ----

enum class EntryKind : std::uint8_t {
  kNoOp,    // a new leader's first entry
  kData,    // the state machine's
  kVoters,  // a membership change, in effect from its append on
};

struct Entry {
  Term term = 0;
  Index index = 0;
  EntryKind kind = EntryKind::kNoOp;
  std::string data;
  std::vector<NodeId> voters;  // of kVoters: the complete set after the change
  bool operator==(const Entry&) const = default;
};

// Replaces the log up to and including `index`.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  std::vector<NodeId> voters;
  std::string data;  // the state machine's state
  bool operator==(const Snapshot&) const = default;
};

// Must be durable before any message that depends on it is sent.
struct HardState {
  Term term = 0;
  NodeId voted_for;
  bool operator==(const HardState&) const = default;
};

// All that a voter restarts from.
struct PersistentState {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<Entry> log;  // from snapshot.index + 1 on, without a gap
  bool operator==(const PersistentState&) const = default;
};

// ---- Messages ----

struct VoteRequest {
  bool pre_vote = false;
  bool leadership_transfer = false;  // the leader itself asked for the election, so its lease does not count
  Term term = 0;
  Index last_index = 0;
  Term last_term = 0;
  bool operator==(const VoteRequest&) const = default;
};
struct VoteResponse {
  bool pre_vote = false;
  Term term = 0;  // if granted the request's, otherwise the responder's
  bool granted = false;
  bool operator==(const VoteResponse&) const = default;
};
// Also the heartbeat, with or without entries.
struct AppendEntriesRequest {
  Term term = 0;
  std::uint64_t heartbeat_round = 0;
  Index prev_index = 0;
  Term prev_term = 0;
  Index leader_commit = 0;
  Index leader_durable_index = 0;  // the leader's own contribution to a commit quorum
  std::vector<Entry> entries;
  bool operator==(const AppendEntriesRequest&) const = default;
};
// Answers AppendEntriesRequest and InstallSnapshotRequest.
struct AppendEntriesResponse {
  Term term = 0;
  std::uint64_t heartbeat_round = 0;  // the request's
  bool success = false;
  Index match_index =
      0;  // on success the logs agree up to here; otherwise a hint: the leader retries after here
  bool operator==(const AppendEntriesResponse&) const = default;
};
struct InstallSnapshotRequest {
  Term term = 0;
  std::uint64_t heartbeat_round = 0;
  Snapshot snapshot;
  bool operator==(const InstallSnapshotRequest&) const = default;
};
// The leader transfers its leadership: the receiver starts an election at once.
struct TimeoutNowRequest {
  Term term = 0;
  bool operator==(const TimeoutNowRequest&) const = default;
};

// The alternatives' order is part of the encoding.
using Message = std::variant<VoteRequest, VoteResponse, AppendEntriesRequest, AppendEntriesResponse,
                             InstallSnapshotRequest, TimeoutNowRequest>;

// ---- Outputs, to be processed in order ----

// Make this durable, one update after the other in the order of their sequence numbers, then call
// Raft::OnPersisted.
struct StorageUpdate {
  std::uint64_t sequence = 0;
  HardState hard_state;
  Index truncate_after = 0;    // log entries after this index are removed
  std::vector<Entry> entries;  // then these are appended
  bool replaces_log = false;   // `snapshot` and `entries` replace the whole log instead
  Snapshot snapshot;           // if replaces_log
};
// Send the message once all storage updates up to after_sequence are durable.
struct SendMessage {
  NodeId to;
  Message message;
  std::uint64_t after_sequence = 0;
};
// Apply the entry to the state machine.
struct Committed {
  Entry entry;
};
// Replace the state machine's state by the snapshot, which the leader sent.
struct SnapshotInstalled {
  Snapshot snapshot;
};

using Output = std::variant<StorageUpdate, SendMessage, Committed, SnapshotInstalled>;

// ---- Options ----

// Parts of the protocol that its safety rests on. Disabled one at a time by mutation tests; all true
// elsewhere.
struct SafetyChecks {
  bool persist_before_send = true;       // a message waits for the storage updates that it depends on
  bool commit_current_term_only = true;  // only entries of the leader's term are committed by counting
  bool require_up_to_date_log = true;    // a vote needs a candidate's log that is at least as up to date
  bool single_vote_per_term = true;      // a voter votes for one candidate in a term
  bool pre_vote = true;                  // an election starts only after a quorum would vote for it
  bool leader_stickiness = true;         // no votes within the minimum election timeout of hearing a leader
  bool vote_delay_after_restart = true;  // a restart counts as hearing a leader
  bool log_matching = true;  // entries are appended only after the entry that the leader has there
  bool single_membership_change = true;    // no change of voters before the last one is committed
  bool check_quorum = true;                // a leader without contact to a quorum steps down
  bool release_lease_on_transfer = true;   // a leader gives its lease up when it transfers its leadership
  bool count_durable_entries_only = true;  // a leader counts its own entries only once they are durable
  bool operator==(const SafetyChecks&) const = default;
};

struct Options {
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  // An election timeout is drawn from this range.
  Duration min_election_timeout = std::chrono::milliseconds(600);
  Duration max_election_timeout = std::chrono::milliseconds(1200);
  double max_clock_rate_difference = 0.01;  // between any two voters' monotonic clocks; 0.01 is 1%
  // Of one message. A single entry is sent even if it is larger than max_batch_bytes.
  std::size_t max_batch_entries = 64;
  std::size_t max_batch_bytes = std::size_t{512} << 10;
  std::size_t max_entry_bytes = std::size_t{400} << 10;
  SafetyChecks safety_checks;
};

}  // namespace lemoncroft::raft

#endif  // LEMONCROFT_RAFT_TYPES_H_
