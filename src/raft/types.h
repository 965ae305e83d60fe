// The values that Raft voters store and exchange: log entries, messages, outputs and options.
//
// Log indices start at 1; index 0 is the position before the first entry. The fields of messages, entries and
// HardState are encoded in the order in which they are declared here (raft/codec.cpp).
//
// References: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), called
// "paper" in comments; Ongaro, "Consensus: Bridging Theory and Practice" (2014), called "thesis": sections
// 3.10 (leadership transfer), 4.1 (single-server membership changes), 4.2.3 (disruptive servers), 6.4 (leader
// lease), 9.6 (pre-vote) and 10.2.1 (writing to the leader's disk in parallel).
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

using NodeId = std::string;  // empty means no node
using Term = std::uint64_t;
using Index = std::uint64_t;

// ---- The log and the persistent state ----

enum class EntryKind : std::uint8_t {
  kNoOp,    // the first entry of a new leader
  kData,    // a command for the state machine
  kVoters,  // a membership change; takes effect as soon as it is appended
};

struct Entry {
  Term term = 0;
  Index index = 0;
  EntryKind kind = EntryKind::kNoOp;
  std::string data;
  std::vector<NodeId> voters;  // kVoters only: the complete set of voters after the change
  bool operator==(const Entry&) const = default;
};

// The state after applying all entries up to and including `index`. It replaces these entries in the log.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  std::vector<NodeId> voters;
  std::string data;  // the serialized state machine
  bool operator==(const Snapshot&) const = default;
};

// The current term and the vote cast in it. They must be durable before any message that depends on them is
// sent.
struct HardState {
  Term term = 0;
  NodeId voted_for;
  bool operator==(const HardState&) const = default;
};

// The state that a node restores when it restarts.
struct PersistentState {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<Entry> log;  // consecutive entries, starting at snapshot.index + 1
  bool operator==(const PersistentState&) const = default;
};

// ---- Messages ----

struct VoteRequest {
  bool pre_vote = false;
  bool leadership_transfer = false;  // the leader requested this election, so voters ignore its lease
  Term term = 0;
  Index last_index = 0;
  Term last_term = 0;
  bool operator==(const VoteRequest&) const = default;
};
struct VoteResponse {
  bool pre_vote = false;
  Term term = 0;  // the request's term if granted, otherwise the responder's
  bool granted = false;
  bool operator==(const VoteResponse&) const = default;
};
// Replicates entries. It also serves as the heartbeat, with or without entries.
struct AppendEntriesRequest {
  Term term = 0;
  std::uint64_t heartbeat_round = 0;
  Index prev_index = 0;
  Term prev_term = 0;
  Index leader_commit = 0;
  Index leader_durable_index = 0;  // the leader counts itself in commit quorums up to this index
  std::vector<Entry> entries;
  bool operator==(const AppendEntriesRequest&) const = default;
};
// The response to AppendEntriesRequest and to InstallSnapshotRequest.
struct AppendEntriesResponse {
  Term term = 0;
  std::uint64_t heartbeat_round = 0;  // copied from the request
  bool success = false;
  // On success, the last index up to which the logs are known to agree. On failure, a hint: the leader
  // retries with the entry after it.
  Index match_index = 0;
  bool operator==(const AppendEntriesResponse&) const = default;
};
struct InstallSnapshotRequest {
  Term term = 0;
  std::uint64_t heartbeat_round = 0;
  Snapshot snapshot;
  bool operator==(const InstallSnapshotRequest&) const = default;
};
// Transfers leadership: asks the receiver to start an election at once.
struct TimeoutNowRequest {
  Term term = 0;
  bool operator==(const TimeoutNowRequest&) const = default;
};

// The order of the alternatives is part of the encoding.
using Message = std::variant<VoteRequest, VoteResponse, AppendEntriesRequest, AppendEntriesResponse,
                             InstallSnapshotRequest, TimeoutNowRequest>;

// ---- Outputs, which the host processes in order ----

// Asks the host to make this update durable and then to call Raft::OnPersisted. Updates are applied one after
// the other in the order of their sequence numbers.
struct StorageUpdate {
  std::uint64_t sequence = 0;
  HardState hard_state;
  Index truncate_after = 0;    // remove the log entries after this index,
  std::vector<Entry> entries;  // then append these
  bool replaces_log = false;   // instead replace the entire log by `snapshot` and `entries`
  Snapshot snapshot;           // valid if replaces_log
};
// Asks the host to send the message once all storage updates up to after_sequence are durable.
struct SendMessage {
  NodeId to;
  Message message;
  std::uint64_t after_sequence = 0;
};
// Asks the host to apply the entry to the state machine.
struct Committed {
  Entry entry;
};
// Asks the host to replace the state of the state machine by the snapshot, which the leader has sent.
struct SnapshotInstalled {
  Snapshot snapshot;
};

using Output = std::variant<StorageUpdate, SendMessage, Committed, SnapshotInstalled>;

// ---- Options ----

// The rules that the safety of the protocol depends on. Mutation tests disable one at a time; everywhere else
// all are true.
struct SafetyChecks {
  bool persist_before_send = true;       // a message waits for the storage updates that it depends on
  bool commit_current_term_only = true;  // only entries of the leader's term are committed by counting
  bool require_up_to_date_log = true;    // a candidate's log must be at least as up to date as the voter's
  bool single_vote_per_term = true;      // a voter votes for at most one candidate in a term
  // An election starts only after a quorum grants a pre-vote, except after a leadership transfer.
  bool pre_vote = true;
  // A voter grants no vote within the minimum election timeout after its last contact with a leader.
  bool leader_stickiness = true;
  bool vote_delay_after_restart = true;    // a restart counts as contact with a leader
  bool log_matching = true;                // entries are appended only if the entry before them matches
  bool single_membership_change = true;    // voters change only after the previous change is committed
  bool check_quorum = true;                // a leader that loses contact with a quorum steps down
  bool release_lease_on_transfer = true;   // a leader gives up its lease when it transfers its leadership
  bool count_durable_entries_only = true;  // a leader counts its own entries only once they are durable
  bool operator==(const SafetyChecks&) const = default;
};

struct Options {
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  // Each election timeout is drawn at random from this range.
  Duration min_election_timeout = std::chrono::milliseconds(600);
  Duration max_election_timeout = std::chrono::milliseconds(1200);
  double max_clock_rate_difference = 0.01;  // relative, between the monotonic clocks of any two voters
  // Limits of one AppendEntriesRequest. A single entry is sent even if it exceeds max_batch_bytes.
  std::size_t max_batch_entries = 64;
  std::size_t max_batch_bytes = std::size_t{512} << 10;
  std::size_t max_entry_bytes = std::size_t{400} << 10;
  SafetyChecks safety_checks;
};

}  // namespace lemoncroft::raft

#endif  // LEMONCROFT_RAFT_TYPES_H_
