// What the log comes to: the versions of the rules, which one is in force, and what became of each change.
//
// Contract. No I/O, no clock, deterministic: the same entries give the same book at every voter. A change
// names the version it was made from and is taken only where that is still the newest; one that comes twice
// under its id counts once. Bounded: texts of at most kTextMost, those of old versions go once all are over
// kTextsMost, and outcomes of old changes. Owner: one thread. Errors: an entry that can't be read changes
// nothing. Source: docs/agreement.md.
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

inline constexpr std::size_t kMaxDocumentBytes = std::size_t{256} << 10;        // of one document
inline constexpr std::size_t kMaxStoredDocumentBytes = std::size_t{768} << 10;  // of all that are kept
inline constexpr std::size_t kMaxVersions = 64, kMaxOutcomes = 512;
inline constexpr std::size_t kMaxChangeIdBytes = 64, kMaxAuthorBytes = 64;

// A change of the document, as its proposer wants it.
struct ConfigChange {
  std::string id;            // drawn by the proposer; the same where it asks again
  Version base_version = 0;  // the version it was made from; 0: there is none yet
  std::string document;
  std::string author;  // who, for the history
  std::int64_t proposed_at_unix_ms = 0;
  bool operator==(const ConfigChange&) const = default;
};

enum class ChangeStatus : std::uint8_t {
  kCommitted,  // it is the version told
  kConflict,   // made from a version that isn't the newest any more
  kRejected,   // by the checks, or by a proxy that can't carry it
  kUnknown,    // nobody who could tell answered in time: it may or may not be taken
};
const char* NameOf(ChangeStatus status);

struct ChangeOutcome {
  std::string id;
  ChangeStatus status = ChangeStatus::kUnknown;
  Version version = 0;  // of kTaken its own; else the newest
  std::string reason;
};

struct VersionRecord {
  std::string document, author;
  std::int64_t proposed_at_unix_ms = 0;
  bool operator==(const VersionRecord&) const = default;
};

// Parts of it that a test takes away.
struct StateMachineSafetyChecks {
  bool compare_and_set = true;  // a change is taken from the newest version alone
  bool idempotent = true;       // under one id, once
};

// The log's entries.
std::string EncodeEntry(const ConfigChange& change);
std::string EncodeEntry(Version active_version);

class ConfigStateMachine {
 public:
  explicit ConfigStateMachine(StateMachineSafetyChecks safety_checks = {}) : safety_checks_(safety_checks) {}

  // Of a change, what became of it; of a version put in force, or of anything else, nothing.
  std::optional<ChangeOutcome> Apply(const std::string& entry);

  Version latest_version() const { return latest_version_; }
  Version active_version() const { return active_version_; }
  const VersionRecord* Find(Version version) const;
  const std::map<Version, VersionRecord>& versions() const { return versions_; }
  const ChangeOutcome* FindOutcome(const std::string& id) const;

  std::string Snapshot() const;
  bool Restore(std::string_view snapshot);
  bool operator==(const ConfigStateMachine& other) const { return Snapshot() == other.Snapshot(); }

 private:
  void DropOldVersions();

  StateMachineSafetyChecks safety_checks_;
  Version latest_version_ = 0, active_version_ = 0;
  std::map<Version, VersionRecord> versions_;
  std::map<std::string, ChangeOutcome> outcomes_;
  std::deque<std::string> outcome_order_;  // of the outcomes, the oldest first
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_CONFIG_STATE_MACHINE_H_
