// Settings of the decision module: classes of requests, tenants, kinds of engines, and the rules of a site.
//
// Contract. Plain values, checked by whoever reads them (src/settings/) before they get here. Durations of 0
// and absent optionals mean that the rule or feature does not apply. Errors: none.
#ifndef LEMONCROFT_SETTINGS_H_
#define LEMONCROFT_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "lemoncroft/types.h"

namespace lemoncroft {

struct ClassSettings {
  // A response within the latency objective earns the whole priority weight. The objective is
  // `latency_objective` plus `latency_objective_stretch` times the request's work over its threads.
  Nanos latency_objective = 0;
  double latency_objective_stretch = 0;
  Nanos client_timeout = 0;  // how long a client waits in all
  double priority_weight = 1;
  double late_weight_share = 0;  // share of the priority weight earned after the latency objective
  Effect effect = Effect::kSafe;
  RepeatGroup repeat_group = RepeatGroup::kAll;
  Nanos repeat_window = 0;  // how long repeats are discarded, from the first attempt that may have run
  bool in_order = false;    // requests with one ordering key run one at a time
  bool streaming = false;
  int threads = 1;                   // that a request runs on its engine
  bool holds_tables = false;         // a load: holds its table group while it runs
  bool blocked_by_loads = false;     // waits while a load holds its table group
  std::vector<std::uint16_t> zones;  // placement: the only zones allowed; empty = any
  std::vector<std::uint16_t> kinds;  // placement: the only kinds allowed; empty = any

  bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
  double quota_per_s = 0;  // requests a second, over all gateways; 0 = no quota
};

struct KindSettings {
  double cores = 0;  // 0 = unknown
  double memory_mb = 0;
};

// Retry budget: retries in any `window` number at most free + ratio x requests received in it.
struct RetryBudgetSettings {
  double free = 0;
  double ratio = 0;
  Nanos window = 0;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::vector<KindSettings> kinds;
  std::vector<ReportField> report_fields;  // of load reports, in order; empty: there are none
  std::optional<RetryBudgetSettings> retry_budget;
  Nanos tick = 0;                      // shortest time between two steps
  double over_quota_weight_share = 1;  // of the priority weight, for requests over their tenant's quota

  Nanos drain_grace = 0;
  double slow_start_initial_share = 0;  // a started engine has at least this share of its capacity ...
  Nanos slow_start_duration = 0;        // ... and all of it after this time
  // A warming engine may be sent this multiple of its capacity at the time, in any `overload_window`.
  double overload_factor = 0;
  Nanos overload_window = 0;
  Nanos ordering_key_pause = 0;  // pause of an ordering key after an attempt whose end is unknown
  Nanos must_ask_within = 0;
  Nanos max_retry_after = 0;
  Nanos connect_timeout = 0;

  double max_grant_share = 1;  // of an engine's memory, to one request
  Nanos progress_interval = 0;
  double late_fail_price = 0;   // points for weight that ends unserved after its objective, as a share
  double cross_zone_price = 0;  // points for an attempt that crosses zones, per first attempt

  int gateway_count = 1;  // of this tier, this one included
  int gateway_index = 0;  // this gateway's number among them
  int max_attempts = 1;
  MemoryShortagePolicy memory_shortage_policy = MemoryShortagePolicy::kTrim;
  std::uint16_t zone = 0;

  bool reports_in_responses = false;  // else in the results of probes alone
  bool list_on_request = false;       // the endpoint list must be asked for
  bool may_cancel = false;
  bool may_probe = false;
  // Attempts of one request may overlap: a retry need not wait until the attempt before surely runs no more.
  // The module itself never sends a hedged attempt.
  bool may_hedge = false;
  bool may_message_peers = false;
  bool may_send_retry_after = false;  // rejected clients are told when to retry
  bool honors_memory_grants = false;
  bool honors_priorities = false;
  bool reports_cost = false;  // responses tell the work that a query needed
};

}  // namespace lemoncroft

#endif  // LEMONCROFT_SETTINGS_H_
