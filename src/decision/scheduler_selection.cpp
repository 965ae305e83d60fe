// Choice among the engines that can take a request. The engine with the shortest expected delay is chosen
// from two random candidates (power of two choices) and the engines that are preferred for the request's
// table group.
#include <algorithm>

#include "decision/constants.h"
#include "decision/scheduler.h"
#include "decision/subset/subset.h"

namespace lemoncroft::decision {

EngineState* Scheduler::ChooseEngine(const RequestState& request) {
  if (!MayRetryNow(request)) return nullptr;
  std::vector<EngineState*> candidates = Candidates(request);
  if (candidates.empty()) return nullptr;
  KeepEnginesForTables(request, candidates);
  if (request.attempts > 0 && candidates.size() > 1) {  // a retry uses another engine
    std::erase_if(candidates, [&request](const EngineState* engine) {
      return engine->entry.engine == request.engine_id;
    });
  }
  if (candidates.empty()) return nullptr;
  if (!IsLight(request) && !KeepEnginesWithKnownLoad(candidates)) return nullptr;
  return ShortestDelay(request, candidates);
}

// Engines outside the subset are used only if no engine in it can take the request.
std::vector<EngineState*> Scheduler::Candidates(const RequestState& request) {
  std::vector<EngineState*> candidates;
  for (const bool in_subset : {true, false}) {
    for (auto& [id, engine] : engines_)
      if (engine.in_subset == in_subset && CanTake(request, engine)) candidates.push_back(&engine);
    if (!candidates.empty()) break;
  }
  return candidates;
}

// ---- Table groups ----

// All gateways rank the engines in the same order for a table group. Readers keep the first engines warm.
// Where readers wait for loads, loads use the last engines.
void Scheduler::KeepEnginesForTables(const RequestState& request, std::vector<EngineState*>& candidates) {
  const std::size_t ranked =
      rankings_.Rank(engines_, subset::Mix(request.spec.table_group),
                     [&](const EngineState& engine) { return MayRunOn(request, engine); });
  const bool load = Class(request).holds_tables;
  const std::size_t reader_engines = ranked - static_cast<std::size_t>(kLoadEngineShare * ranked);
  const bool split = load ? loads_block_readers_ : Class(request).blocked_by_loads;
  if (ranked >= kMinEnginesToSplit && split) {
    std::erase_if(candidates,
                  [&](const EngineState* engine) { return load == (engine->rank < reader_engines); });
  }
  if (!load) return;
  // Loads of one table group wait for each other. Each gateway therefore tries first the engines that no
  // other gateway tries first.
  const auto of_other_gateways = [this](const EngineState* engine) {
    return (engine->rank + settings_.gateway_index) % settings_.gateway_count != 0;
  };
  if (!std::all_of(candidates.begin(), candidates.end(), of_other_gateways))
    std::erase_if(candidates, of_other_gateways);
}

// ---- Load reports ----

// Keeps the candidates whose load is known, and probes other candidates if these are too few. Engines that
// send no reports although the settings promise reports remain candidates, and are probed from time to time.
// Returns true if the request may be sent now.
bool Scheduler::KeepEnginesWithKnownLoad(std::vector<EngineState*>& candidates) {
  if (!settings_.may_probe || !report_layout_.reports_load()) return true;
  const std::vector<EngineState*> all = candidates;
  std::vector<EngineState*> unknown;
  std::vector<EngineState*> silent;
  for (EngineState* engine : candidates) {
    if (engine->reported_load.IsFresh(now_)) continue;
    (engine->reported_load.IsSilent() ? silent : unknown).push_back(engine);
  }
  std::erase_if(candidates, [this](const EngineState* engine) {
    return !engine->reported_load.IsFresh(now_) && !engine->reported_load.IsSilent();
  });
  if (candidates.size() < kMinEnginesWithKnownLoad && !unknown.empty())
    SendProbe(unknown, next_probe_at_, kProbeInterval);
  if (!silent.empty() && !report_layout_.in_responses)
    SendProbe(silent, next_silent_probe_at_, kSilentProbeInterval);

  // With many heavy requests pending, one probe per interval is too few. While no probe is in flight,
  // requests are then sent as they would be without load reports.
  const bool probe_under_way = now_ < next_probe_at_ - kProbeInterval + kProbeTimeout;
  const bool many_pending = pending_.HasGroupLargerThan(kMaxFailedPlacements);
  const bool affordable = credit_.HasCredit() || fleet_latency_ratio_ < kSlowFleetLatencyRatio;
  const bool send_without_report = candidates.empty() && !probe_under_way && many_pending && affordable;
  // Until an engine has reported, the first engine found to be silent must not get all requests.
  const bool none_ever_reported = !silent.empty() && !any_engine_reported_;
  if (send_without_report || none_ever_reported) candidates = all;
  return !candidates.empty();
}

void Scheduler::SendProbe(const std::vector<EngineState*>& engines, Nanos& next_at, Nanos interval) {
  if (now_ < next_at) return;
  next_at = now_ + interval;
  actions_->push_back(Probe{engines[RandomIndex(engines.size())]->entry.engine});
}

// ---- Expected delay ----

EngineState* Scheduler::ShortestDelay(const RequestState& request, std::vector<EngineState*>& candidates) {
  // Moves two random candidates to the front.
  std::swap(candidates[0], candidates[RandomIndex(candidates.size())]);
  if (candidates.size() > 1) std::swap(candidates[1], candidates[1 + RandomIndex(candidates.size() - 1)]);
  EngineState* best = nullptr;
  double best_delay = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    EngineState* const engine = candidates[i];
    if (i >= 2) {
      if (engine->rank >= kPreferredEngines) continue;
      if (!PreferredEngineHasRoom(*engine, RandomUniform() * request.work)) continue;
    }
    const double delay = ExpectedDelay(request, *engine);
    if (best == nullptr || delay < best_delay) {
      best = engine;
      best_delay = delay;
    }
  }
  return best;
}

// Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018): a preferred engine gets at
// most a bounded multiple of its part of this gateway's recent work.
bool Scheduler::PreferredEngineHasRoom(const EngineState& engine, double work) const {
  return engine.sent_load.recent() + work <= preferred_work_share_per_core_ * recent_work_ * engine.cores;
}

double Scheduler::ExpectedDelay(const RequestState& request, const EngineState& engine) const {
  const InFlightLoad in_flight = LoadInFlight(engine);
  const double others =
      engine.reported_load.IsFresh(now_) ? OtherGatewaysRequests(engine) : mean_other_requests_;
  const double remaining_work =
      in_flight.remaining_work + (engine.sent_load.backlog() + others * running_mix_.remaining_work());
  const bool preferred = engine.rank < kPreferredEngines && !Class(request).holds_tables;
  const bool warm = engine.warm_tables.Holds(request.spec.table_group) || preferred;
  const double own = request.work / request.threads * (warm ? 1 - kWarmWorkSaving : 1);
  // An engine on which some attempts hang may respond fast to the others. Heavy requests lose most by
  // hanging.
  const double excess_hung = engine.hung_share - fleet_hung_share_ - kHungShareNoise;
  const double hung_cost = IsLight(request) ? 0 : kHungCostFactor * std::max(0.0, excess_hung);
  // Overdue attempts reveal a failing engine before its responses do.
  const double penalty = 1 + in_flight.overdue + hung_cost;
  return (remaining_work / engine.cores + own) / RelativeSpeed(engine) * penalty;
}

Scheduler::InFlightLoad Scheduler::LoadInFlight(const EngineState& engine) const {
  InFlightLoad load;
  for (RequestId id : engine.in_flight) {
    const RequestState& running = requests_.at(id);
    const double progress = ToSeconds(now_ - running.sent_at) / std::max(1e-3, ExpectedSeconds(running));
    load.remaining_work += running.work * std::max(kMinRemainingShare, 1 - progress);
    if (progress > kOverdueFactor) ++load.overdue;
  }
  return load;
}

}  // namespace lemoncroft::decision
