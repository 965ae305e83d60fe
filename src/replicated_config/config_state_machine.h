// The replicated state machine behind the Raft log: the configuration versions, the active version, and the
// outcome of each proposed change.
//
// The state machine does no I/O, reads no clock and is deterministic: replicas that apply the same entries
// have equal states. A change names the version that it is based on and is committed only if that is still
// the latest one (compare and set). A change that is applied twice under one id takes effect once. An entry
// that cannot be decoded changes nothing. The constants below bound the memory.
//
// Not thread-safe: an object belongs to one thread.
//
// Design: docs/agreement.md.
#ifndef LEMONCROFT_REPLICATED_CONFIG_CONFIG_STATE_MACHINE_H_
#define LEMONCROFT_REPLICATED_CONFIG_CONFIG_STATE_MACHINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "replicated_config/lease.h"

namespace lemoncroft::replicated_config {

inline constexpr std::size_t kMaxDocumentBytes = std::size_t{256} << 10;  // per version
// The limit for the documents of all versions together. Above it the oldest inactive versions are dropped.
inline constexpr std::size_t kMaxStoredDocumentBytes = std::size_t{768} << 10;
inline constexpr std::size_t kMaxVersions = 64, kMaxOutcomes = 512;
inline constexpr std::size_t kMaxChangeIdBytes = 64, kMaxAuthorBytes = 64;

// A proposed new configuration.
struct ConfigChange {
  std::string id;            // drawn by the proposer; a retry has the same id
  Version base_version = 0;  // the version that the change is based on; 0 if there is none yet
  std::string document;
  std::string author;  // shown in the history of versions
  std::int64_t proposed_at_unix_ms = 0;
  bool operator==(const ConfigChange&) const = default;
};

// The status of a change. The values are part of the wire and snapshot formats.
enum class ChangeStatus : std::uint8_t {
  kCommitted,
  kConflict,  // the base version is no longer the latest version
  kRejected,  // the change is invalid, or incompatible with a proxy
  kUnknown,   // no leader responded in time: the change may or may not be committed
};
// Returns the status as it appears in JSON.
const char* NameOf(ChangeStatus status);

struct ChangeOutcome {
  std::string id;
  ChangeStatus status = ChangeStatus::kUnknown;
  // Of a committed configuration change, its version; otherwise the latest version that the responder knows,
  // or 0.
  Version version = 0;
  std::string reason;  // shown to operators; empty if the status is sufficient
};

// One committed version.
struct VersionRecord {
  std::string document, author;
  std::int64_t proposed_at_unix_ms = 0;
  bool operator==(const VersionRecord&) const = default;
};

// The rules that safety depends on. Mutation tests disable one at a time; everywhere else all are true.
struct StateMachineSafetyChecks {
  bool compare_and_set = true;  // a change is committed only from the latest version
  bool idempotent = true;       // a change takes effect once under one id
};

// Encodes a log entry that proposes `change`.
std::string EncodeEntry(const ConfigChange& change);
// Encodes a log entry that activates a version.
std::string EncodeEntry(Version active_version);

class ConfigStateMachine {
 public:
  explicit ConfigStateMachine(StateMachineSafetyChecks safety_checks = {}) : safety_checks_(safety_checks) {}

  // Applies a committed log entry. Returns the outcome of a change, or nullopt for any other entry.
  std::optional<ChangeOutcome> Apply(const std::string& entry);

  Version latest_version() const { return latest_version_; }
  Version active_version() const { return active_version_; }
  // Returns null if the version does not exist or was dropped.
  const VersionRecord* Find(Version version) const;
  const std::map<Version, VersionRecord>& versions() const { return versions_; }
  // Returns null if the change was never applied or its outcome was dropped.
  const ChangeOutcome* FindOutcome(const std::string& id) const;

  std::string Snapshot() const;
  // Replaces the state by the state in a snapshot; an empty snapshot is the initial state. Returns
  // false and changes nothing if the snapshot cannot be decoded.
  [[nodiscard]] bool Restore(std::string_view snapshot);
  bool operator==(const ConfigStateMachine& other) const { return Snapshot() == other.Snapshot(); }

 private:
  void EnforceLimits();

  StateMachineSafetyChecks safety_checks_;
  Version latest_version_ = 0, active_version_ = 0;
  std::map<Version, VersionRecord> versions_;
  std::map<std::string, ChangeOutcome> outcomes_;
  std::deque<std::string> outcome_order_;  // the keys of outcomes_, oldest first
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_CONFIG_STATE_MACHINE_H_
