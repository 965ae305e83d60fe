// Settings of the decision module: classes of requests, tenants, kinds of engines, and the rules of a site.
//
// Plain values; src/settings/ checks them before they reach the module. A duration of 0 or an absent optional
// means that the rule or feature does not apply.
//
// The module itself does not read ClassSettings::streaming, nor these members of Settings: `tick`,
// `connect_timeout` and `may_hedge`, which its host applies, and `drain_grace`, `must_ask_within`,
// `late_fail_price`, `cross_zone_price`, `memory_shortage_policy`, `zone` and `may_message_peers`.
#ifndef LEMONCROFT_SETTINGS_H_
#define LEMONCROFT_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "lemoncroft/types.h"

namespace lemoncroft {

struct ClassSettings {
  // A response within the latency objective earns the full priority weight. The objective is
  // `latency_objective` plus `latency_objective_stretch` times the request's work divided by its threads.
  Nanos latency_objective = 0;
  double latency_objective_stretch = 0;
  Nanos client_timeout = 0;  // how long a client waits in total
  double priority_weight = 1;
  double late_weight_share = 0;  // share of the priority weight that a response after the objective earns
  Effect effect = Effect::kSafe;
  RepeatGroup repeat_group = RepeatGroup::kAll;
  // How long repeats are discarded, counted from the first attempt that may have run.
  Nanos repeat_window = 0;
  bool in_order = false;  // requests with the same ordering key run one at a time
  bool streaming = false;
  int threads = 1;                   // that a request uses on its engine
  bool holds_tables = false;         // the requests are loads, which hold their table group while they run
  bool blocked_by_loads = false;     // the requests wait while a load holds their table group
  std::vector<std::uint16_t> zones;  // placement: the allowed zones; empty = all
  std::vector<std::uint16_t> kinds;  // placement: the allowed kinds; empty = all

  bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
  double quota_per_s = 0;  // requests per second over all gateways; 0 = no quota
};

struct KindSettings {
  double cores = 0;  // 0 = unknown
  double memory_mb = 0;
};

// The retry budget: in any `window`, there are at most `free` retries plus `ratio` times the number of
// requests received in it.
struct RetryBudgetSettings {
  double free = 0;
  double ratio = 0;
  Nanos window = 0;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::vector<KindSettings> kinds;
  std::vector<ReportField> report_fields;  // the fields of a load report, in order; empty = no load reports
  std::optional<RetryBudgetSettings> retry_budget;
  Nanos tick = 0;                      // shortest time between two steps
  double over_quota_weight_share = 1;  // of the priority weight, of requests over their tenant's quota

  Nanos drain_grace = 0;
  double slow_start_initial_share = 0;  // a newly started engine has at least this share of its capacity ...
  Nanos slow_start_duration = 0;        // ... and its full capacity after this time
  // In any `overload_window`, a warming engine may be sent this multiple of its capacity at the time.
  double overload_factor = 0;
  Nanos overload_window = 0;
  Nanos ordering_key_pause = 0;  // of an ordering key, after an attempt whose end is unknown
  Nanos must_ask_within = 0;
  Nanos max_retry_after = 0;
  Nanos connect_timeout = 0;

  double max_grant_share = 1;  // of an engine's memory, granted to one request
  Nanos progress_interval = 0;
  double late_fail_price = 0;   // points for weight that ends unserved after its objective, as a share
  double cross_zone_price = 0;  // points for an attempt that crosses zones, per first attempt

  int gateway_count = 1;  // gateways of this tier, including this one
  int gateway_index = 0;  // 0-based index of this gateway among them
  int max_attempts = 1;
  MemoryShortagePolicy memory_shortage_policy = MemoryShortagePolicy::kTrim;
  std::uint16_t zone = 0;

  bool reports_in_responses = false;  // otherwise only in the results of probes
  bool list_on_request = false;       // the endpoint list must be requested with WatchEngineList
  bool may_cancel = false;
  bool may_probe = false;
  // Attempts of one request may overlap: a retry need not wait until the previous attempt has certainly
  // stopped running. The module itself never sends a hedged attempt.
  bool may_hedge = false;
  bool may_message_peers = false;
  bool may_send_retry_after = false;  // rejections carry a retry-after
  bool honors_memory_grants = false;
  bool honors_priorities = false;
  bool reports_cost = false;  // responses report the work that a query took
};

}  // namespace lemoncroft

#endif  // LEMONCROFT_SETTINGS_H_
