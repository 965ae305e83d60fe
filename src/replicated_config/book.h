// What the log comes to: the versions of the rules, which one is in force, and what became of each change.
//
// Contract. No I/O, no clock, deterministic: the same entries give the same book at every voter. A change
// names the version it was made from and is taken only where that is still the newest; one that comes twice
// under its id counts once. Bounded: texts of at most kTextMost, those of old versions go once all are over
// kTextsMost, and outcomes of old changes. Owner: one thread. Errors: an entry that can't be read changes
// nothing. Source: docs/agreement.md.
#ifndef LEMONCROFT_RULES_BOOK_H_
#define LEMONCROFT_RULES_BOOK_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "replicated_config/lease.h"

namespace lemoncroft::replicated_config {

inline constexpr std::size_t kTextMost = std::size_t{256} << 10;   // of one document
inline constexpr std::size_t kTextsMost = std::size_t{768} << 10;  // of all that are kept
inline constexpr std::size_t kVersionsMost = 64, kOutcomesMost = 512;
inline constexpr std::size_t kIdMost = 64, kByMost = 64;

// A change of the document, as its proposer wants it.
struct Change {
  std::string id;    // drawn by the proposer; the same where it asks again
  Version from = 0;  // the version it was made from; 0: there is none yet
  std::string text;
  std::string by;  // who, for the history
  std::int64_t at_unix_ms = 0;
  bool operator==(const Change&) const = default;
};

enum class Verdict : std::uint8_t {
  kTaken,     // it is the version told
  kConflict,  // made from a version that isn't the newest any more
  kRefused,   // by the checks, or by a proxy that can't carry it
  kUnknown,   // nobody who could tell answered in time: it may or may not be taken
};
const char* NameOf(Verdict verdict);

struct Outcome {
  std::string id;
  Verdict verdict = Verdict::kUnknown;
  Version version = 0;  // of kTaken its own; else the newest
  std::string why;
};

struct Written {
  std::string text, by;
  std::int64_t at_unix_ms = 0;
  bool operator==(const Written&) const = default;
};

// Parts of it that a test takes away.
struct BookGuards {
  bool compare = true;  // a change is taken from the newest version alone
  bool once = true;     // under one id, once
};

// The log's entries.
std::string EntryOf(const Change& change);
std::string EntryOf(Version in_force);

class Book {
 public:
  explicit Book(BookGuards guards = {}) : guards_(guards) {}

  // Of a change, what became of it; of a version put in force, or of anything else, nothing.
  std::optional<Outcome> Apply(const std::string& entry);

  Version newest() const { return newest_; }
  Version in_force() const { return in_force_; }
  const Written* Find(Version version) const;
  const std::map<Version, Written>& versions() const { return versions_; }
  const Outcome* OutcomeOf(const std::string& id) const;

  std::string Snapshot() const;
  bool Restore(std::string_view snapshot);
  bool operator==(const Book& other) const { return Snapshot() == other.Snapshot(); }

 private:
  void Forget();

  BookGuards guards_;
  Version newest_ = 0, in_force_ = 0;
  std::map<Version, Written> versions_;
  std::map<std::string, Outcome> outcomes_;
  std::deque<std::string> order_;  // of the outcomes, the oldest first
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_RULES_BOOK_H_
