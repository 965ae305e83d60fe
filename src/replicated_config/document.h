// The document of rules that a fleet agrees on, read: what it changes of each proxy's own settings, which
// engines are out by hand, and what a proxy that is cut off may go on with.
//
// Contract. Plain values, no I/O. The text (KDL, docs/operating-rules.md) is what versions hold; the same
// document has one canonical text. Owner: none. Units: spans, cores, requests a second. Errors: all that is
// wrong with a text, a line each.
#ifndef LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_H_
#define LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admission_queue/types.h"
#include "replicated_config/lease.h"
#include "settings/settings.h"

namespace lemoncroft::replicated_config {

inline constexpr std::uint64_t kNewestDocumentFormat = 1;  // the newest that this program reads
inline constexpr std::size_t kMaxNames = 4096;             // classes, tenants, teams: of each

// What is left out stays as each proxy's own settings have it.
struct ClassOverride {
  std::optional<Effect> effect;  // what may be repeated
  std::optional<RepeatGroup> group;
  std::optional<Span> repeat_window;
  bool operator==(const ClassOverride&) const = default;
};
struct TenantOverride {
  std::optional<double> quota_per_s;
  bool operator==(const TenantOverride&) const = default;
};
struct TeamOverride {
  std::optional<double> cores;
  std::optional<Span> burst;
  std::optional<std::size_t> threads, max_waiting;
  bool operator==(const TeamOverride&) const = default;
};
struct RetryBudget {
  double free = 0, ratio = 0;
  Span window{};
  bool operator==(const RetryBudget&) const = default;
};
// For a proxy that can't renew its lease: these classes go on, at these engines, for so long; all else is
// refused. A successor may change neither while anybody may go on so.
struct IsolationPolicy {
  std::set<std::string> classes, engines;
  Span duration{};
  bool operator==(const IsolationPolicy&) const = default;
};

struct Document {
  std::uint64_t format = 1;
  std::optional<int> max_attempts;  // of a request
  std::optional<RetryBudget> retry_budget;
  std::optional<int> max_open_requests;
  std::map<std::string, ClassOverride> classes;
  std::map<std::string, TenantOverride> tenants;
  std::map<std::string, TeamOverride> teams;
  std::set<std::string> ejected_engines;  // engines, by hand
  IsolationPolicy isolation;
  bool operator==(const Document&) const = default;
};

// The document, or what is wrong with the text.
std::variant<Document, std::string> ParseDocument(std::string_view text);
std::string SerializeDocument(const Document& document);

// Why the one can't follow the other; nothing where it can.
std::string CheckSuccessor(const Document& from, const Document& to);

// What differs, a line each: "class lookup effect: pure -> token".
std::vector<std::string> Differences(const Document& from, const Document& to);

// Why a proxy with these settings of its own can't carry it; nothing where it can. `teams`: of its waiting
// line; null: it has none.
std::string CheckCompatible(const Document& document, const settings::Site& own,
                            const admission_queue::Settings* line);

// Its own settings as the document changes them. WhyNot has nothing against it.
settings::Site ApplyDocument(const Document& document, const settings::Site& own);
admission_queue::Settings ApplyDocument(const Document& document, const admission_queue::Settings& own);

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_H_
