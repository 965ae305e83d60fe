// The scheduler's state of one engine. Only the scheduler changes it.
#ifndef LEMONCROFT_DECISION_ENGINE_STATE_H_
#define LEMONCROFT_DECISION_ENGINE_STATE_H_

#include <cstddef>
#include <set>

#include "decision/limits/circuit_breaker.h"
#include "decision/limits/concurrency_limit.h"
#include "decision/limits/sent_load.h"
#include "decision/limits/slow_start_budget.h"
#include "decision/reports/reported_load.h"
#include "decision/subset/warm_tables.h"
#include "lemoncroft/types.h"

namespace lemoncroft::decision {

// The state of one incarnation of an engine. It is reset when the engine restarts.
struct IncarnationState {
  reports::ReportedLoad reported_load;
  double latency_ratio = 1;  // recent mean, relative to the best latency of each class
  int responses = 0;
  double hung_share = 0;  // share of light attempts that were cancelled as runaways
  limits::CircuitBreaker breaker;
  limits::SlowStartBudget slow_start;
  limits::ConcurrencyLimit concurrency_limit;
  subset::WarmTables warm_tables;
};

struct EngineState : IncarnationState {
  EngineEntry entry;
  bool listed = false;
  bool in_subset = true;  // in the subset of engines that this gateway sends to
  double cores = 1;
  double memory_mb = 0;  // 0 = unknown
  std::set<RequestId> in_flight;
  limits::SentLoad sent_load;
  std::size_t rank = 0;  // in the rendezvous order for the request being placed

  // Returns true if the engine is listed and neither draining nor manually ejected.
  bool Serving() const { return listed && entry.readiness == Readiness::kReady; }
};

}  // namespace lemoncroft::decision

#endif  // LEMONCROFT_DECISION_ENGINE_STATE_H_
