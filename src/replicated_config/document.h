// The fleet-wide configuration document: overrides of each proxy's own settings, manually ejected
// engines, and what an isolated proxy may continue to do.
//
// Contract: plain values and pure functions; no I/O. A version of the replicated configuration is a
// document's KDL text (docs/operating-rules.md); equal documents have one canonical text.
//
// Units: spans of time, cores, requests per second.
//
// Errors: all faults of a text are reported together.
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

inline constexpr std::uint64_t kNewestDocumentFormat = 1;  // that this program reads
inline constexpr std::size_t kMaxNames = 4096;  // of classes, tenants, teams and ejected engines each

// An absent field leaves the proxy's own setting unchanged.
struct ClassOverride {
  std::optional<Effect> effect;  // whether a retry is safe
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
// Retries per proxy and window: `free`, and `ratio` of its requests.
struct RetryBudget {
  double free = 0, ratio = 0;
  Duration window{};
  bool operator==(const RetryBudget&) const = default;
};
// What a proxy may continue after its lease has expired: requests of these classes on these engines, for
// `duration`. All others are rejected. A successor must not change the overrides of these classes, nor eject
// these engines, because isolated proxies may still act on them.
struct IsolationPolicy {
  std::set<std::string> classes, engines;
  Duration duration{};
  bool operator==(const IsolationPolicy&) const = default;
};

struct Document {
  std::uint64_t format = 1;
  std::optional<int> max_attempts;  // attempts per request
  std::optional<RetryBudget> retry_budget;
  std::optional<int> max_open_requests;
  std::map<std::string, ClassOverride> classes;
  std::map<std::string, TenantOverride> tenants;
  std::map<std::string, TeamOverride> teams;
  std::set<std::string> ejected_engines;  // manually ejected
  IsolationPolicy isolation;
  bool operator==(const Document&) const = default;
};

// What is wrong with a text.
struct InvalidDocument {
  struct Fault {
    int line = 0, column = 0;  // from 1
    std::string message;       // names the key and its value
  };
  bool is_syntax_error = false;  // the text is not KDL; otherwise what it says is wrong
  std::vector<Fault> faults;     // in the order found; one of a syntax error
  // For an operator, a line each.
  std::string Text() const;
};

// Why a document must not follow another: proxies that are isolated may still act on the other.
struct SuccessorConflict {
  enum class Kind { kEjectsEngine, kChangesClass };
  Kind kind = Kind::kEjectsEngine;
  std::string name;               // of the engine or class
  Duration isolation_duration{};  // of the other document
  std::string Text() const;
};

// Why a proxy cannot apply a document.
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
  std::string name;             // of the unknown class, tenant or team
  std::uint64_t supported = 0;  // by the proxy; with kFormat, kMaxAttempts and kMaxOpenRequests
  std::uint64_t requested = 0;  // by the document; likewise
  std::string Text() const;
};

// Parses and validates a text.
[[nodiscard]] tl::expected<Document, InvalidDocument> ParseDocument(std::string_view text);
std::string SerializeDocument(const Document& document);

// Checks that `to` may follow `from`.
[[nodiscard]] tl::expected<void, SuccessorConflict> CheckSuccessor(const Document& from, const Document& to);

// Returns the differences, a line each: "~ class lookup effect: pure -> token". Lines begin with "+", "-" or
// "~" for added, removed and changed.
std::vector<std::string> Differences(const Document& from, const Document& to);

// Checks that a proxy with these settings can apply a document. `queue`: the settings of its admission queue;
// null: it has none.
[[nodiscard]] tl::expected<void, IncompatibleDocument> CheckCompatible(
    const Document& document, const settings::Site& own, const admission_queue::Settings* queue);

// Returns a proxy's settings with the document's overrides. CheckCompatible must hold.
settings::Site ApplyDocument(const Document& document, const settings::Site& own);
admission_queue::Settings ApplyDocument(const Document& document, const admission_queue::Settings& own);

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_H_
