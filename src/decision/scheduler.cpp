// Steps, settings and the endpoint list.
#include "decision/scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/constants.h"
#include "decision/subset/subset.h"

namespace lemoncroft::decision {

using estimates::ClassEstimates;

Scheduler::Scheduler(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_engine_(seed) {
  ApplySettings({});
}

void Scheduler::Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions) {
  const bool first = now_ < 0;
  const double elapsed_seconds = first ? 0 : ToSeconds(std::max<Nanos>(0, now - now_));
  now_ = std::max(now_, now);
  if (first) first_step_at_ = now;
  actions_ = &actions;
  AdvanceTime(elapsed_seconds);
  if (first && settings_.list_on_request) actions_->push_back(WatchEngineList{true});
  for (const Event& event : events) std::visit([this](const auto& concrete) { Handle(concrete); }, event);
  RunTimers();
  AdjustConcurrencyLimits();
  DispatchPending();
  if (!requests_.empty() && next_wake_at_ <= now_) {
    next_wake_at_ = now_ + kTimerInterval;
    actions_->push_back(WakeAt{next_wake_at_, 0});
  }
}

std::vector<EngineId> Scheduler::EjectedEngines(Nanos now) const {
  std::vector<EngineId> ejected;
  for (const auto& [id, engine] : engines_)
    if (engine.listed && engine.breaker.IsOpen(now)) ejected.push_back(id);
  return ejected;
}

// ---- Settings ----

void Scheduler::ApplySettings(const std::vector<int>& former_class) {
  ApplyFleetSize();
  report_layout_ = reports::ReportLayout::FromSettings(settings_);
  quotas_.resize(settings_.tenants.size());
  last_attempt_at_.resize(std::max(last_attempt_at_.size(), settings_.classes.size()));
  loads_block_readers_ =
      std::any_of(settings_.classes.begin(), settings_.classes.end(),
                  [](const ClassSettings& class_settings) { return class_settings.blocked_by_loads; });
  InheritEstimates(former_class);
}

void Scheduler::InheritEstimates(const std::vector<int>& former_class) {
  const std::vector<ClassEstimates> before = std::exchange(estimates_, {});
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    const int former = i < former_class.size() ? former_class[i] : -1;
    if (former >= 0 && static_cast<std::size_t>(former) < before.size()) {
      estimates_.push_back(before[static_cast<std::size_t>(former)]);
      continue;
    }
    // Latency objectives leave headroom: until there are responses, a third of the objective is assumed as
    // the duration.
    const ClassSettings& class_settings = settings_.classes[i];
    estimates_.emplace_back(ToSeconds(class_settings.latency_objective) / 3 * class_settings.threads,
                            settings_.reports_cost);
  }
}

void Scheduler::Handle(const SettingsChanged& change) {
  if (!change.settings) return;
  settings_ = *change.settings;
  ApplySettings(change.former_class);
  RebuildOrderingKeyQueues(change.former_class);
  // Ends requests that wait for a retry which is no longer allowed.
  std::vector<RequestId> exhausted;
  for (const auto& [key, group] : pending_.groups())
    for (const auto& [work, id] : group)
      if (requests_.at(id).attempts >= std::max(1, settings_.max_attempts)) exhausted.push_back(id);
  for (RequestId id : exhausted) RejectOrFail(requests_.at(id));
  // Cancels retries that are no longer allowed. The host has been told to send them, but may not have done
  // so.
  for (const auto& [engine_id, engine] : engines_) {
    for (RequestId id : engine.in_flight) {
      RequestState& request = requests_.at(id);
      if (!MayRetryNow(request)) CancelAttempt(request);
    }
  }
}

void Scheduler::Handle(const ProcessCount& count) { process_count_ = std::max(1, count.processes); }

void Scheduler::Handle(const FleetSize& fleet_size) {
  fleet_size_ = fleet_size;
  ApplyFleetSize();
  ChooseSubset();
}

void Scheduler::ApplyFleetSize() {
  if (fleet_size_) {
    settings_.gateway_count = fleet_size_->gateway_count;
    settings_.gateway_index = fleet_size_->gateway_index;
  }
  settings_.gateway_count = std::max(1, settings_.gateway_count);
}

// ---- Endpoint list ----

void Scheduler::Handle(const EngineList& list) {
  const bool failed = list.kind == ListKind::kFailed || !list.entries;
  if (failed) {
    if (settings_.list_on_request) actions_->push_back(WatchEngineList{true});
    return;
  }
  if (list.kind != ListKind::kChange) {
    for (auto& [id, engine] : engines_) engine.listed = false;  // set again by ApplyEntry
  }
  for (const EngineEntry& entry : *list.entries) ApplyEntry(entry);
  std::erase_if(engines_, [](const auto& entry) {
    const EngineState& engine = entry.second;
    return !engine.listed && engine.in_flight.empty();
  });
  ChooseSubset();
}

void Scheduler::ApplyEntry(const EngineEntry& entry) {
  const auto [it, added] = engines_.try_emplace(entry.engine);
  EngineState& engine = it->second;
  const bool restarted = !added && entry.started_at != engine.entry.started_at;
  if (restarted) {
    static_cast<IncarnationState&>(engine) = IncarnationState();
    engine.sent_load.ResetForRestart();
  }
  engine.entry = entry;
  engine.listed = entry.readiness != Readiness::kRemoved;
  const KindSettings kind =
      entry.kind < settings_.kinds.size() ? settings_.kinds[entry.kind] : KindSettings();
  engine.cores = kind.cores > 0 ? kind.cores : 1;
  engine.memory_mb = kind.memory_mb;
  if (!added && !restarted) return;
  engine.concurrency_limit.Start(ConcurrencyLimitSeed(engine), now_);
  // A previous process or a second process of this gateway may have spent the budget of the last window.
  const Nanos accrue_from = std::max({entry.started_at, now_ - settings_.overload_window, first_step_at_});
  engine.slow_start.AccrueFrom(process_count_ > 1 ? now_ : accrue_from);
}

void Scheduler::ChooseSubset() {
  rankings_.Clear();
  std::vector<EngineId> serving;
  for (auto& [id, engine] : engines_) {
    engine.in_subset = false;
    if (engine.Serving()) serving.push_back(id);
  }
  max_gateways_per_engine_ = subset::MaxGatewaysPerEngine(serving.size(), settings_.gateway_count);
  const std::vector<EngineId> chosen = (fleet_size_ ? subset::SubsetByMembershipRank : subset::SubsetByHash)(
      serving, settings_.gateway_count, settings_.gateway_index);
  for (EngineId id : chosen) engines_.at(id).in_subset = true;
  subset_share_ =
      serving.empty() ? 1 : static_cast<double>(chosen.size()) / static_cast<double>(serving.size());
}

double Scheduler::ConcurrencyLimitSeed(const EngineState& engine) const {
  return std::max(1.0,
                  limits::ConcurrencyLimit::kSeedThreadsPerCore * engine.cores / settings_.gateway_count);
}

double Scheduler::GatewaysPerEngine() const { return std::max(1.0, subset_share_ * settings_.gateway_count); }

// ---- Time ----

void Scheduler::AdvanceTime(double seconds) {
  recent_work_ *= std::exp(-seconds / limits::SentLoad::kRecentTimeConstantSeconds);
  limits::FleetCapacity fleet = AdvanceEngines(seconds);
  UpdateHeaviestClass();
  fleet.heaviest_class_work = heaviest_class_work_;
  credit_.Advance(seconds, fleet, credit_.started() ? 0 : RandomUniform());
  constexpr double kMinLoad = 0.1;
  const double load = credit_.load() * GatewaysPerEngine();
  preferred_work_share_per_core_ =
      std::max(kMinPreferredLoadFactor, 1 / std::max(kMinLoad, load)) / std::max(1.0, fleet.subset_cores);
}

limits::FleetCapacity Scheduler::AdvanceEngines(double seconds) {
  limits::FleetCapacity fleet;
  fleet.gateways = settings_.gateway_count;
  fleet.latency_ratio = fleet_latency_ratio_;
  const double gateways_per_engine = GatewaysPerEngine();
  for (auto& [id, engine] : engines_) {
    engine.sent_load.Advance(seconds, engine.cores * RelativeSpeed(engine) / gateways_per_engine);
    if (engine.listed) fleet.listed_cores += engine.cores;
    if (engine.in_subset) fleet.subset_cores += engine.cores;
  }
  return fleet;
}

void Scheduler::UpdateHeaviestClass() {
  heaviest_class_work_ = 0;
  for (const ClassEstimates& estimates : estimates_)
    heaviest_class_work_ = std::max(heaviest_class_work_, estimates.mean_work());
  best_heavy_weight_rate_ = 0;
  for (std::size_t i = 0; i < estimates_.size(); ++i)
    if (!IsLight(i)) best_heavy_weight_rate_ = std::max(best_heavy_weight_rate_, WeightRate(i));
}

}  // namespace lemoncroft::decision
