// The fleet-wide configuration document: overrides of the proxies' own settings, the manually ejected
// engines, and the requests that an isolated proxy may continue to send.
//
// The KDL text of a document (docs/operating-rules.md) is stored as a version of the replicated
// configuration. Equal documents have the same canonical text.
#ifndef LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_H_
#define LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "admission_queue/types.h"
#include "replicated_config/lease.h"
#include "settings/settings.h"

namespace lemoncroft::replicated_config {

inline constexpr std::uint64_t kNewestDocumentFormat = 1;  // the newest format that this program reads
inline constexpr std::size_t kMaxNames = 4096;  // each for classes, tenants, teams and ejected engines

// An absent field leaves the proxy's own setting unchanged.
struct ClassOverride {
  std::optional<Effect> effect;  // determines whether a retry is safe
  std::optional<RepeatGroup> group;
  std::optional<Duration> repeat_window;
  bool operator==(const ClassOverride&) const = default;
};
struct TenantOverride {
  std::optional<double> quota_per_s;
  bool operator==(const TenantOverride&) const = default;
};
struct TeamOverride {
  std::optional<double> cores;
  std::optional<Duration> burst;
  std::optional<std::size_t> threads, max_waiting;
  bool operator==(const TeamOverride&) const = default;
};
// Limits the retries of a proxy in each window to `free` plus `ratio` times the number of its requests.
struct RetryBudget {
  double free = 0, ratio = 0;
  Duration window{};
  bool operator==(const RetryBudget&) const = default;
};
// The requests that a proxy may still send after its lease has expired: those of these classes to these
// engines, for `duration`. All others are rejected. The next document must neither change the overrides of
// these classes nor eject these engines, because isolated proxies may still act on this one.
struct IsolationPolicy {
  std::set<std::string> classes, engines;
  Duration duration{};
  bool operator==(const IsolationPolicy&) const = default;
};

struct Document {
  std::uint64_t format = 1;
  std::optional<int> max_attempts;  // per request
  std::optional<RetryBudget> retry_budget;
  std::optional<int> max_open_requests;
  std::map<std::string, ClassOverride> classes;
  std::map<std::string, TenantOverride> tenants;
  std::map<std::string, TeamOverride> teams;
  std::set<std::string> ejected_engines;  // manually ejected
  IsolationPolicy isolation;
  bool operator==(const Document&) const = default;
};

// The errors of an invalid text, all reported together.
struct InvalidDocument {
  struct Fault {
    int line = 0, column = 0;  // starting at 1
    std::string message;       // names the key and its value
  };
  bool is_syntax_error = false;  // true if the text is not KDL, false if its content is invalid
  std::vector<Fault> faults;     // in the order in which they were found; exactly one for a syntax error
  // Returns a message for operators with one line per fault.
  std::string Text() const;
};

// The reason why a document must not follow the current one, on which isolated proxies may still act.
struct SuccessorConflict {
  enum class Kind { kEjectsEngine, kChangesClass };
  Kind kind = Kind::kEjectsEngine;
  std::string name;               // of the engine or class
  Duration isolation_duration{};  // of the current document
  std::string Text() const;
};

// The reason why a proxy cannot apply a document.
struct IncompatibleDocument {
  enum class Cause {
    kFormat,
    kUnknownClass,
    kUnknownTenant,
    kMaxAttempts,
    kMaxOpenRequests,
    kNoAdmissionQueue,
    kUnknownTeam,
  };
  Cause cause = Cause::kFormat;
  std::string name;  // of the unknown class, tenant or team
  // The greatest value that the proxy supports and the value in the document. Set with kFormat, kMaxAttempts
  // and kMaxOpenRequests.
  std::uint64_t supported = 0;
  std::uint64_t requested = 0;
  std::string Text() const;
};

// Parses and validates the text of a document.
[[nodiscard]] tl::expected<Document, InvalidDocument> ParseDocument(std::string_view text);
std::string SerializeDocument(const Document& document);

// Checks that the document `to` may follow the document `from`.
[[nodiscard]] tl::expected<void, SuccessorConflict> CheckSuccessor(const Document& from, const Document& to);

// Returns the differences as one line each, such as "~ class lookup effect: pure -> token". Lines start with
// "+" (added), "-" (removed) or "~" (changed).
std::vector<std::string> Differences(const Document& from, const Document& to);

// Checks that a proxy with these settings can apply a document. `queue` is null if the proxy has no admission
// queue.
[[nodiscard]] tl::expected<void, IncompatibleDocument> CheckCompatible(
    const Document& document, const settings::Site& own, const admission_queue::Settings* queue);

// Returns a proxy's settings with the overrides of the document, for which CheckCompatible must succeed.
settings::Site ApplyDocument(const Document& document, const settings::Site& own);
admission_queue::Settings ApplyDocument(const Document& document, const admission_queue::Settings& own);

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_H_
