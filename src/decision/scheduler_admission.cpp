// Admission: the conditions under which an engine may take a request now. They concern placement, health,
// slow start, credit, memory and concurrency.
#include <algorithm>

#include "decision/constants.h"
#include "decision/limits/placement.h"
#include "decision/scheduler.h"

namespace lemoncroft::decision {

// ---- Placement ----

bool Scheduler::MayRunOn(const RequestState& request, const EngineState& engine) const {
  const ClassSettings& class_settings = Class(request);
  if (!limits::PlacementAllows(class_settings, engine.entry)) return false;
  if (class_settings.effect != Effect::kKeyed || request.may_have_run_at < 0) return true;
  return limits::RecognizesRepeats(class_settings.repeat_group, request.may_have_run_on, engine.entry);
}

// A second load of a table group would wait at the engine until the first load ends, and hold its memory
// grant while it waits.
inline bool Scheduler::RunsLoadOfTableGroup(const RequestState& request, const EngineState& engine) const {
  if (!Class(request).holds_tables) return false;
  return std::any_of(engine.in_flight.begin(), engine.in_flight.end(), [&](RequestId id) {
    const RequestState& other = requests_.at(id);
    return Class(other).holds_tables && other.spec.table_group == request.spec.table_group;
  });
}

bool Scheduler::FailedOn(const RequestState& request, const EngineState& engine) {
  return std::count(request.failed_on.begin(), request.failed_on.end(), engine.entry.engine) > 0;
}

bool Scheduler::OtherEngineAvailable(const RequestState& request) const {
  return std::any_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
    const EngineState& other = entry.second;
    return Available(other) && MayRunOn(request, other) && !FailedOn(request, other);
  });
}

// ---- Credit ----

// Light requests don't wait for credit, unless a heavy class earns more per thread second.
bool Scheduler::BypassesCredit(const RequestState& request) const {
  return IsLight(request) && WeightRate(request.spec.class_id) >= best_heavy_weight_rate_;
}

// Without credit, a request may be sent only in these cases: it is a load whose class earns at least as much
// per thread second as any heavy class; the engine sends no load reports and the fleet of engines isn't slow;
// the engine has no recent load report and can be probed first; or the engine is idle.
bool Scheduler::CreditAllows(const RequestState& request, const EngineState& engine) const {
  if (credit_.HasCredit()) return true;
  if (Class(request).holds_tables && WeightRate(request.spec.class_id) >= best_heavy_weight_rate_)
    return true;
  if (!report_layout_.reports_load() || engine.reported_load.IsSilent())
    return fleet_latency_ratio_ < kSlowFleetLatencyRatio;
  if (!engine.reported_load.IsFresh(now_)) return settings_.may_probe;  // the engine is probed first
  return ThreadsInUse(engine) + request.threads <= kIdleThreadsPerCore * engine.cores;
}

// ---- Memory and concurrency ----

// Heavy requests leave memory for light requests, which would otherwise queue behind them or spill.
bool Scheduler::MemoryAllows(const RequestState& request, const EngineState& engine) const {
  const bool light = IsLight(request);
  const auto own = static_cast<double>(engine.in_flight.size());
  const auto granted = engine.reported_load.GrantedMemoryShare(own, max_gateways_per_engine_);
  const double max_granted = kUnestimatedGrantFactor * (light ? 1 : kMaxHeavyMemoryShare);
  if (granted && request.spec.estimated_memory_mb <= 0 && *granted > max_granted) return false;
  const double others =
      engine.reported_load.IsFresh(now_) ? OtherGatewaysRequests(engine) * running_mix_.memory_mb() : 0;
  if (light || (engine.in_flight.empty() && others == 0)) return true;
  if (engine.memory_mb <= 0) return true;
  return engine.sent_load.memory_mb() + others + MemoryNeed(request) <=
         kMaxHeavyMemoryShare * engine.memory_mb;
}

bool Scheduler::ConcurrencyAllows(const RequestState& request, const EngineState& engine) const {
  if (!UnderPressure(request, engine)) return true;
  // An engine that runs nothing of this gateway may always take a request, unless the requests of other
  // gateways crowd it.
  if (engine.in_flight.empty()) {
    const double in_use = ThreadsInUse(engine);
    return IsLight(request) || in_use <= 0 ||
           in_use + request.threads <= kCrowdedThreadsPerCore * engine.cores;
  }
  const double limit = engine.concurrency_limit.threads() * RelativeSpeed(engine);
  return engine.sent_load.threads(IsLight(request)) + request.threads / 2 <= limit;
}

bool Scheduler::UnderPressure(const RequestState& request, const EngineState& engine) const {
  constexpr double kSeedThreadsPerCore = limits::ConcurrencyLimit::kSeedThreadsPerCore;
  return engine.latency_ratio > kPressureLatencyRatio ||
         ThreadsInUse(engine) + request.threads > kSeedThreadsPerCore * engine.cores;
}

// ---- Slow start ----

// The gateways that have the engine in their subsets divide most of its budget, evenly or in proportion to
// their traffic. All other gateways divide the rest.
inline double Scheduler::SlowStartShare(const EngineState& engine) const {
  if (fleet_size_) {
    return engine.in_subset ? kSubsetSlowStartShare / max_gateways_per_engine_
                            : (1 - kSubsetSlowStartShare) / settings_.gateway_count;
  }
  const double demand_share = credit_.demand_share();
  if (subset_share_ >= 1) return demand_share;
  if (engine.in_subset) return demand_share * kSubsetSlowStartShare;
  return demand_share * std::min(1.0, (1 - kSubsetSlowStartShare) * subset_share_ / (1 - subset_share_));
}

inline bool Scheduler::SlowStartAllows(const RequestState& request, EngineState& engine) {
  if (!InSlowStart(engine)) return true;
  const Nanos window = settings_.overload_window;
  const double rate = SlowStartRate(engine);
  engine.slow_start.Accrue(rate * SlowStartShare(engine) / process_count_, window, now_);
  if (engine.slow_start.ThresholdExpired(window, now_)) engine.slow_start.SetThreshold(RandomUniform(), now_);
  return engine.slow_start.Covers(SlowStartCharge(request, rate));
}

// A request is charged at least the mean work of its class; otherwise the lightest requests would always be
// sent first. Where costs aren't reported, that mean is uncertain.
double Scheduler::SlowStartCharge(const RequestState& request, double rate) const {
  const double guess_factor = settings_.reports_cost || IsLight(request) ? 1 : kUnreportedCostFactor;
  const double work = std::max(request.work, Estimates(request).mean_work()) * guess_factor;
  const double budget = rate * ToSeconds(settings_.overload_window);
  return limits::ChargeWithMargin(work, budget, kSlowStartDeviations);
}

// ---- All conditions ----

bool Scheduler::CanTake(const RequestState& request, EngineState& engine) {
  if (!Available(engine)) return false;
  if (!MayRunOn(request, engine) || RunsLoadOfTableGroup(request, engine)) return false;
  if (!SlowStartAllows(request, engine)) return false;
  // An engine that fails fast looks idle while other engines are busy. It must not get back all the requests
  // that it has failed.
  if (FailedOn(request, engine) && OtherEngineAvailable(request)) return false;
  if (engine.breaker.IsHalfOpen() && !engine.in_flight.empty()) return false;
  if (!BypassesCredit(request) && !CreditAllows(request, engine)) return false;
  return MemoryAllows(request, engine) && ConcurrencyAllows(request, engine);
}

}  // namespace lemoncroft::decision
