// What the voters of a fleet keep and tell each other, to agree on one log.
//
// Contract. Plain values, no I/O, no clock. Owner: none. Units: spans of time; indices count entries from 1.
// Source: Ongaro, Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014); Ongaro's thesis
// (2014), sections 4.1 (voters by one), 3.10 (transfer), 6.4 (lease), 9.6 (pre-vote).
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

using NodeId = std::string;  // of a voter; empty: none
using Term = std::uint64_t;
using Index = std::uint64_t;

enum class EntryKind : std::uint8_t { kNoOp, kData, kVoters };

struct Entry {
  Term term = 0;
  Index index = 0;
  EntryKind kind = EntryKind::kNoOp;
  std::string data;
  std::vector<NodeId> voters;  // of kVoters: all of them, from the append on
  bool operator==(const Entry&) const = default;
};

// What the log up to an index came to.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  std::vector<NodeId> voters;
  std::string data;
  bool operator==(const Snapshot&) const = default;
};

// What must be durable before anything that rests on it is told.
struct HardState {
  Term term = 0;
  NodeId voted_for;
  bool operator==(const HardState&) const = default;
};

struct PersistentState {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<Entry> log;  // behind the snapshot, without a gap
  bool operator==(const PersistentState&) const = default;
};

struct VoteRequest {
  bool pre_vote = false;  // would you?
  bool leadership_transfer =
      false;  // the leader itself asked it to: its hard_state not to be disturbed does not count
  Term term = 0;
  Index last_index = 0;
  Term last_term = 0;
  bool operator==(const VoteRequest&) const = default;
};
struct VoteResponse {
  bool pre_vote = false;
  Term term = 0;  // of the request, where granted; else the answerer's
  bool granted = false;
  bool operator==(const VoteResponse&) const = default;
};
struct AppendEntriesRequest {
  Term term = 0;
  std::uint64_t heartbeat_round = 0;
  Index prev_index = 0;
  Term prev_term = 0;
  Index leader_commit = 0;
  Index leader_durable_index =
      0;  // what the leader itself holds durably: it counts towards what is committed
  std::vector<Entry> entries;
  bool operator==(const AppendEntriesRequest&) const = default;
};
struct AppendEntriesResponse {
  Term term = 0;
  std::uint64_t heartbeat_round = 0;
  bool success = false;
  Index match_index = 0;  // where ok: up to here the logs are the same; else: try from behind here
  bool operator==(const AppendEntriesResponse&) const = default;
};
struct InstallSnapshotRequest {
  Term term = 0;
  std::uint64_t heartbeat_round = 0;
  Snapshot snapshot;
  bool operator==(const InstallSnapshotRequest&) const = default;
};
// Begin an election at once: the leader goes.
struct TimeoutNowRequest {
  Term term = 0;
  bool operator==(const TimeoutNowRequest&) const = default;
};

using Message = std::variant<VoteRequest, VoteResponse, AppendEntriesRequest, AppendEntriesResponse,
                             InstallSnapshotRequest, TimeoutNowRequest>;

// ---- Outputs, in order ----

// Make this durable, in the order of the numbers; then call OnPersisted.
struct StorageUpdate {
  std::uint64_t sequence = 0;
  HardState hard_state;
  Index truncate_after = 0;    // entries behind this index are dropped first
  std::vector<Entry> entries;  // then these follow
  bool replaces_log = false;   // a snapshot takes the place of all that was
  Snapshot snapshot;           // where `whole`
};
// Send this once all up to `after` is durable.
struct SendMessage {
  NodeId to;
  Message message;
  std::uint64_t after_sequence = 0;
};
struct Committed {
  Entry entry;
};
// A snapshot from the leader takes the place of what was committed so far.
struct SnapshotInstalled {
  Snapshot snapshot;
};

using Output = std::variant<StorageUpdate, SendMessage, Committed, SnapshotInstalled>;

// Parts of the protocol that a test takes away, one at a time. Nothing else sets them.
struct SafetyChecks {
  bool persist_before_send = true;         // nothing is told before what it rests on is kept
  bool commit_current_term_only = true;    // commitment counts entries of the leader's own term only
  bool require_up_to_date_log = true;      // votes go to logs that are as long
  bool single_vote_per_term = true;        // one vote a term
  bool pre_vote = true;                    // who comes back asks before it disturbs
  bool leader_stickiness = true;           // who hears a leader votes for nobody
  bool vote_delay_after_restart = true;    // ... also if it has just started, and can't know
  bool log_matching = true;                // entries follow only on the same log
  bool single_membership_change = true;    // of voters at a time
  bool check_quorum = true;                // a leader without a majority is none
  bool release_lease_on_transfer = true;   // before it hands over
  bool count_durable_entries_only = true;  // a leader's own entries count once they are durable
  bool operator==(const SafetyChecks&) const = default;
};

struct Options {
  Duration heartbeat_interval = std::chrono::milliseconds(100);    // of a leader
  Duration min_election_timeout = std::chrono::milliseconds(600);  // without a word of one
  Duration max_election_timeout = std::chrono::milliseconds(1200);
  double max_clock_rate_difference = 0.01;               // of clocks, at the most
  std::size_t max_batch_entries = 64;                    // entries in a message ...
  std::size_t max_batch_bytes = std::size_t{512} << 10;  // ... and bytes of them, where it is more than one
  std::size_t max_entry_bytes = std::size_t{400} << 10;  // of an entry
  SafetyChecks safety_checks;
};

}  // namespace lemoncroft::raft

#endif  // LEMONCROFT_RAFT_TYPES_H_
