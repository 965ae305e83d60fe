// Learning from outcomes and load reports: estimates of classes, load and health of engines, and concurrency
// limits.
#include <algorithm>
#include <string>

#include "decision/constants.h"
#include "decision/scheduler.h"

namespace lemoncroft::decision {

using estimates::UpdateMovingMean;

// ---- Outcomes ----

void Scheduler::RecordOutcome(RequestState& request, EngineState& engine, const AttemptEnded& end) {
  engine.in_flight.erase(request.spec.id);
  RecordUsage(request);
  const Outcome outcome = end.outcome;
  // An attempt that ended with kReset may still run (MayStillRun), but adds no backlog.
  const bool adds_backlog =
      outcome == Outcome::kCancelled || outcome == Outcome::kTimeout || outcome == Outcome::kLost;
  engine.sent_load.RecordEnd(request.charge, adds_backlog);
  const bool report_due = report_layout_.in_responses && outcome == Outcome::kOk;
  RecordReport(engine, end.load_report, report_due ? ReportExpectation::kDue : ReportExpectation::kOptional);
  RecordHealth(request, engine, end);
}

void Scheduler::RecordUsage(const RequestState& request) {
  const double seconds = ToSeconds(now_ - request.sent_at);
  credit_.Settle(request.reserved_credit, seconds * request.threads);
  const double weight = std::min(kMaxMixWeight, kMixWeightPerSecond * seconds);
  running_mix_.Record(request.work, request.threads, request.charge.memory_mb, weight);
}

void Scheduler::RecordHealth(RequestState& request, EngineState& engine, const AttemptEnded& end) {
  switch (end.outcome) {
    case Outcome::kOk:
      RecordSuccess(request, engine, end);
      RecordErrorsOnOtherEngines(request);
      if (request.charge.light) RecordHung(engine, false);
      break;
    case Outcome::kFull:
      engine.concurrency_limit.RecordFull();
      engine.breaker.HoldOpenUntil(now_ + kFullBackoff);
      break;
    case Outcome::kError:
      request.failed_on.push_back(request.engine_id);
      break;
    case Outcome::kLost:
      RecordFailure(engine, kLostResponseWeight);
      break;
    case Outcome::kTimeout:  // a timeout at the request's deadline says nothing about the engine
      if (now_ < request.deadline - kResponseMargin) RecordFailure(engine, kBrokenConnectionWeight);
      break;
    case Outcome::kConnectFailed:
    case Outcome::kReset:
      RecordFailure(engine, kBrokenConnectionWeight);
      break;
    case Outcome::kCancelled: {
      const bool runaway = request.runaway_cancels > 0 && request.phase != RequestPhase::kDone;
      if (!runaway) break;
      const double sample = std::min(kMaxLatencyRatio, kHungLatencyFactor * engine.latency_ratio);
      UpdateMovingMean(engine.latency_ratio, sample, kFastWeight);
      RecordFailure(engine, kErrorWeight);
      if (request.charge.light) RecordHung(engine, true);
      break;
    }
    case Outcome::kNotSent:
      break;
  }
}

void Scheduler::RecordSuccess(const RequestState& request, EngineState& engine, const AttemptEnded& end) {
  engine.breaker.RecordSuccess(kErrorWeight);
  const double reported_work = ToSeconds(end.work);
  const double ratio =
      estimates_[request.spec.class_id].Learn({.estimated_work = ToSeconds(request.spec.estimated_work),
                                               .reported_work = reported_work,
                                               .time = ToSeconds(end.elapsed) * request.threads,
                                               .estimated_memory_mb = request.spec.estimated_memory_mb,
                                               .reported_memory_mb = end.memory_mb,
                                               .exploratory = request.exploratory});
  const double sample = std::min(ratio, kMaxLatencyRatio);
  ++engine.responses;
  UpdateMovingMean(engine.latency_ratio, sample, std::max(kFastWeight, 1.0 / (engine.responses + 3)));
  UpdateMovingMean(fleet_latency_ratio_, sample, kFastWeight);
  engine.concurrency_limit.RecordResponse(reported_work > 0 ? reported_work : request.work, ratio);
}

void Scheduler::RecordHung(EngineState& engine, bool hung) {
  UpdateMovingMean(engine.hung_share, hung, kHungWeight);
  UpdateMovingMean(fleet_hung_share_, hung, kFleetHungWeight);
}

// ---- Load reports ----

void Scheduler::Handle(const ProbeEnded& probe) {
  const auto engine = engines_.find(probe.engine);
  if (engine != engines_.end()) RecordReport(engine->second, probe.load_report, ReportExpectation::kDue);
}

void Scheduler::RecordReport(EngineState& engine, const LoadReport& report, ReportExpectation expectation) {
  const auto own = static_cast<double>(engine.in_flight.size());
  if (engine.reported_load.Update(report_layout_, report, own, now_)) {
    UpdateMovingMean(mean_other_requests_, engine.reported_load.other_requests(), kFastWeight);
    any_engine_reported_ = true;
  } else if (expectation == ReportExpectation::kDue) {
    engine.reported_load.RecordMissing();
  }
}

// ---- Outlier detection ----

// An error counts against its engine only once another engine has served the request. A request that no
// engine can serve must not eject any engine.
void Scheduler::RecordErrorsOnOtherEngines(const RequestState& request) {
  for (auto& [id, engine] : engines_)
    if (id != request.engine_id && FailedOn(request, engine)) RecordFailure(engine, kErrorWeight);
}

// An engine that fails fast looks idle and would attract requests. After its backoff, its next failure ejects
// it again, until successes have reduced its share of failures.
void Scheduler::RecordFailure(EngineState& engine, double weight) {
  if (!engine.breaker.RecordFailure(weight, now_)) return;
  double ejected = 1;  // this engine
  double listed = 0;
  for (const auto& [id, other] : engines_) {
    if (!other.listed) continue;
    ++listed;
    if (other.breaker.IsOpen(now_)) ++ejected;
  }
  if (ejected > kMaxEjectedShare * listed) return;  // the whole fleet fails
  engine.breaker.Open(now_, kMinEjectionJitter + kEjectionJitterRange * RandomUniform());
  actions_->push_back(LogLine{"engine " + std::to_string(engine.entry.engine) + " ejected: attempts fail"});
}

// ---- Concurrency limits ----

void Scheduler::AdjustConcurrencyLimits() {
  for (auto& [id, engine] : engines_) {
    if (!engine.concurrency_limit.PeriodComplete(unmet_demand_.had_pending, now_)) continue;
    engine.concurrency_limit.Adjust(ConcurrencyLimitSeed(engine), unmet_demand_, RandomUniform(), now_);
  }
  if (now_ - unmet_demand_reset_at_ < limits::ConcurrencyLimit::kPeriod) return;
  unmet_demand_ = limits::UnmetDemand();
  unmet_demand_reset_at_ = now_;
}

}  // namespace lemoncroft::decision
