// The interface of the lemoncroft decision module: what a gateway is told (Settings, Event), what it asks its
// host to do (Action), and the Gateway that maps the one to the other. See docs/design.md for how it decides.
//
// Contract. One Gateway serves one gateway process and is used by one thread at a time; instances share
// nothing. It reads no clock and does no I/O: the host passes the time, which never runs backwards (an
// earlier time is taken as the last one). The same settings, seed and sequence of Step calls give the same
// actions. Every Request ends in one final answer: a served outcome (finished set), Refuse or Fail. Events
// about ids that the gateway does not know are ignored.
#ifndef LEMONCROFT_GATEWAY_H_
#define LEMONCROFT_GATEWAY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace lemoncroft {

using Nanos = std::int64_t;  // a point in time or a span of it, in nanoseconds
inline constexpr Nanos kNoLimit = std::numeric_limits<Nanos>::max();
using RequestId = std::uint64_t;
using EngineId = std::uint32_t;
// The tenant of a request on a site that has none.
inline constexpr std::uint16_t kNoTenant = std::numeric_limits<std::uint16_t>::max();

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class RepeatGroup { kAll, kZone, kCell };  // the engines that discard a keyed request's repeats
enum class MemoryShort { kQueue, kTrim, kSwap };
enum class ReportField { kInflight, kQueue, kUtil, kLatencyMs, kQps, kEps, kX0, kX1, kOther };

struct ClassSettings {
  Nanos latency_objective = 0;           // full worth when answered within this time ...
  double latency_objective_stretch = 0;  // ... plus this multiple of the request's work over its threads
  Nanos deadline = 0;                    // how long a client waits in all
  double priority_weight = 1;
  double late_weight_share = 0;  // share of the worth earned after the aim
  Effect effect = Effect::kSafe;
  RepeatGroup group = RepeatGroup::kAll;
  Nanos repeat_window = 0;  // how long repeats are discarded, from the first attempt that may have run
  bool in_order = false;
  bool streaming = false;
  int threads = 1;
  bool holds_tables = false;         // a load: holds its table group while it runs
  bool blocked_by_loads = false;     // stands still while a load holds its table group
  std::vector<std::uint16_t> zones;  // placement: the only zones allowed; empty = any
  std::vector<std::uint16_t> kinds;  // placement: the only kinds allowed; empty = any

  bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
  double quota_per_s = 0;  // requests a second, over all gateways, that stay within its share; 0 = no quota
};

struct KindSettings {
  double cores = 0;  // 0 = not told
  double memory_mb = 0;
};

struct AttemptBudget {  // further attempts in any look_back: at most free + ratio x requests taken in it
  double free = 0;
  double ratio = 0;
  Nanos budget_window = 0;
};

// Durations of 0 and absent optionals mean that the rule or feature does not apply.
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::vector<KindSettings> kinds;
  std::vector<ReportField> report_fields;  // of load reports, in order; empty: there are none
  std::optional<AttemptBudget> attempt_budget;
  Nanos tick = 0;  // shortest time between two steps
  double over_quota_weight_share = 1;

  Nanos drain_grace = 0;
  double slow_start_initial_share = 0;  // a started engine has at least this share of its capacity ...
  Nanos slow_start_duration = 0;        // ... and all of it after this time
  double overload_factor = 0;
  Nanos overload_window = 0;
  Nanos order_settle = 0;
  Nanos must_ask_within = 0;
  Nanos max_retry_after = 0;
  Nanos connect_timeout = 0;

  double max_grant_share = 1;
  Nanos progress_every = 0;
  double late_fail_price = 0;   // points for worth that ends unserved after its aim, as a share
  double cross_zone_price = 0;  // points for an attempt that crosses zones, per first try

  int gateways = 1;  // siblings of this tier, this one included
  int self = 0;      // this gateway's number among them
  int max_attempts = 1;
  MemoryShort memory_short = MemoryShort::kTrim;
  std::uint16_t zone = 0;

  bool reports_in_answers = false;  // else in the results of probes alone
  bool list_on_request = false;     // the engine list must be asked for
  bool may_cancel = false;
  bool may_probe = false;
  bool may_hedge = false;  // two attempts of one request may be out at a time
  bool may_message = false;
  bool may_send_retry_after = false;  // clients are handed the come-back advice
  bool honors_memory_grants = false;
  bool honors_priorities = false;
  bool reports_cost = false;
};

// ---- Events: what the host has learnt since the last step, in order ----

// kExcluded: left out by an operator's hand, as if it drained, until the operator says otherwise.
enum class Readiness { kReady, kDraining, kExcluded, kGone };

struct EngineEntry {
  EngineId engine = 0;
  double weight = 1;
  Readiness readiness = Readiness::kReady;
  std::uint16_t kind = 0;
  std::uint16_t cell = 0;
  std::uint16_t zone = 0;
  Nanos started_at = 0;  // 0 = long ago
};

enum class ListKind { kChange, kFull, kCached, kFailed };

struct EngineList {
  ListKind kind = ListKind::kFull;
  std::shared_ptr<const std::vector<EngineEntry>> entries;  // may be null for kFailed
};

struct Request {
  RequestId id = 0;
  std::uint16_t class_id = 0;
  std::uint16_t tenant = 0;  // kNoTenant where the site has none
  std::uint64_t key = 0;     // of the order that its class keeps; 0 = none
  Nanos client_timeout = 0;  // until the client gives up on this try
  Nanos est_work = 0;        // 0 = no estimate
  double est_memory_mb = 0;
  std::uint32_t tables = 0;
  bool repeat = false;  // marked by the client
};

// kLost: it may have run, but its answer was lost or spoilt on the way from an engine that is there.
enum class Outcome { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kNotSent, kLost };

inline constexpr std::size_t kMaxReportFields = 4;

struct LoadReport {
  std::uint8_t count =
      0;  // 0 = no report; else the values of Settings::report_fields, NaN where one is missing
  std::array<float, kMaxReportFields> values{};
};

struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;
  EngineId engine = 0;
  Outcome outcome = Outcome::kOk;
  Nanos waited = 0;
  bool finished = false;  // the request has had its final answer
  Nanos work = 0;         // what the query needed; 0 = not told
  double memory_mb = 0;
  LoadReport load;
};

struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
};

struct ClientGone {
  RequestId id = 0;
};

enum class NoticeKind { kProgress, kSpills, kWaits };

struct ProgressNotice {
  RequestId id = 0;
  int attempt = 0;
  NoticeKind kind = NoticeKind::kProgress;
  double amount = 0;  // share done; megabytes missing; 1 = waits for memory, 2 = for a load
};

struct Probed {
  EngineId engine = 0;
  Outcome outcome = Outcome::kOk;
  Nanos waited = 0;
  LoadReport load;
};

struct PeerMessage {
  int sender = 0;
  std::string body;
};

struct TimerFired {
  std::uint64_t token = 0;
};

// New settings while requests are under way. Those keep the class and tenant that they came with: what has
// such a number keeps its figures. A class that is new under its number may start with another's estimates.
struct SettingsChanged {
  std::shared_ptr<const Settings> settings;
  std::vector<int>
      inherits_estimates_from;  // for each class, the one before whose estimates it starts with; -1: none
};

// Others decide in the place of this gateway too, while one process takes another's place: budgets that hold
// for the gateway as a whole are divided by so many parts, of which this one has one. Before the first list
// where it is so from the start.
struct ProcessShare {
  int parts = 1;
};

// How many gateways serve, and which place this one has in the order of their names, as their own view of the
// fleet tells: from then on in the place of what the settings say, for subsets and for budgets that all
// share.
struct FleetSize {
  int gateways = 1;
  int place = 0;
};

// The client's patience has run out: the request gets its final answer, whatever still runs of it.
struct DeadlineReached {
  RequestId id = 0;
};

// The process is about to be ended: what has no answer yet gets it now.
struct Closing {};

using Event =
    std::variant<SettingsChanged, ProcessShare, FleetSize, Closing, EngineList, Request, AttemptEnded,
                 StreamStarted, ClientGone, DeadlineReached, ProgressNotice, Probed, PeerMessage, TimerFired>;

// ---- Actions: to be carried out in the order given, at the time of the step ----

struct ResourceGrant {  // memory and priority for the request's further sends; the priority also for those
                        // out
  RequestId id = 0;
  int priority = 1;
  double grant_mb = 0;  // 0 = the engine chooses
};
struct Send {  // start attempt number 0, 1, 2, ... of the request
  RequestId id = 0;
  EngineId engine = 0;
  Nanos timeout = 0;           // 0 = until the client gives up
  Nanos not_after = kNoLimit;  // point in time past which its statement may not leave for the engine any more
};
struct Cancel {
  RequestId id = 0;
  int attempt = 0;
};
struct RejectRequest {  // final: not served, harmless to try again
  RequestId id = 0;
  Nanos retry_after = 0;  // 0 = no advice
};
struct Fail {  // final: failed, with no promise about effects
  RequestId id = 0;
};
struct WakeAt {
  Nanos at = 0;
  std::uint64_t token = 0;
};
struct Probe {
  EngineId engine = 0;
};
struct WatchList {  // ask for changes of the engine list from now on
  bool on = true;
};
struct LogLine {
  std::string text;
};

using Action =
    std::variant<ResourceGrant, Send, Cancel, RejectRequest, Fail, WakeAt, Probe, WatchList, LogLine>;

class Gateway {
 public:
  Gateway(Settings settings, std::uint64_t seed);
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  // Applies all events, then decides once; appends to `actions`.
  void Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions);
  // Listed engines that it leaves out for a while by its own choice.
  std::vector<EngineId> Avoided(Nanos now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lemoncroft

#endif  // LEMONCROFT_GATEWAY_H_
