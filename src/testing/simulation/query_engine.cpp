#include "testing/simulation/query_engine.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lemoncroft::simulation {
namespace {

constexpr Engine kMachine = 1;              // the engine's `Fleet` has only this machine
constexpr double kOverloadThreshold = 1.5;  // threads per core above which throughput falls
constexpr double kOverloadPenalty = 0.6;    // relative slowdown at twice the threshold
constexpr double kSpillExtraWork = 2.5;     // additional work of a query without memory, relative to its work
constexpr double kSwapSlowdown = 6;         // slowdown when twice the engine's memory is in use
constexpr std::size_t kMaxSnapshots = 8;

double Seconds(Nanos time) { return static_cast<double>(time) / 1e9; }

}  // namespace

QueryEngine::QueryEngine(EngineTraits traits, Nanos started_at)
    : traits_(std::move(traits)),
      started_at_(started_at),
      fleet_(kOverloadThreshold, kOverloadPenalty),
      idle_since_(started_at) {
  fleet_.Add(kMachine, traits_.cores, traits_.speed);
  next_snapshot_ = started_at;
}

double QueryEngine::RequestedMemory(const QueryPlan& plan) const {
  const bool use_grant = traits_.honors_memory_grants && plan.grant_mb > 0;
  return std::min(use_grant ? plan.grant_mb : plan.own_grant_mb, traits_.memory_mb);
}

double QueryEngine::GrantedMemory() const {
  double sum = 0;
  for (const auto& [key, query] : active_queries_) sum += query.granted;
  return sum;
}

void QueryEngine::Admit(ActiveQuery& query) {
  const double requested = RequestedMemory(query.plan);
  const double available = std::max(0.0, traits_.memory_mb - GrantedMemory());
  query.granted = traits_.memory_shortage_policy == MemoryShortagePolicy::kTrim
                      ? std::min(requested, available)
                      : requested;
  query.admitted = true;
  const double need = std::max(1e-9, query.plan.memory_mb);
  const double missing = 1 - std::min(1.0, query.granted / need);
  query.work = query.plan.work * (1 + kSpillExtraWork * missing);
}

// Admits queries by priority and then by arrival. If queries queue for memory, no query overtakes the first
// one.
void QueryEngine::AdmitWaiting() {
  std::vector<ActiveQuery*> queue;
  for (auto& [key, query] : active_queries_)
    if (!query.admitted) queue.push_back(&query);
  std::sort(queue.begin(), queue.end(), [](const ActiveQuery* a, const ActiveQuery* b) {
    if (a->plan.priority != b->plan.priority) return a->plan.priority > b->plan.priority;
    return a->arrival_order < b->arrival_order;
  });
  for (ActiveQuery* first : queue) {
    const double granted = GrantedMemory();
    const bool fits = granted == 0 || granted + RequestedMemory(first->plan) <= traits_.memory_mb;
    if (traits_.memory_shortage_policy == MemoryShortagePolicy::kQueue && !fits) return;
    Admit(*first);
  }
}

bool QueryEngine::Blocked(const ActiveQuery& query) const {
  if (!query.plan.holds_tables && !query.plan.blocked_by_loads) return false;
  return std::any_of(active_queries_.begin(), active_queries_.end(), [&](const auto& entry) {
    const ActiveQuery& other = entry.second;
    return other.running && other.plan.holds_tables && other.plan.table_group == query.plan.table_group;
  });
}

void QueryEngine::RunAdmitted() {
  std::vector<ActiveQuery*> waiting;
  for (auto& [key, query] : active_queries_)
    if (query.admitted && !query.running) waiting.push_back(&query);
  std::sort(waiting.begin(), waiting.end(),
            [](const ActiveQuery* a, const ActiveQuery* b) { return a->arrival_order < b->arrival_order; });
  for (ActiveQuery* query : waiting) {
    if (Blocked(*query)) continue;
    const QueryPlan& plan = query->plan;
    const int priority = traits_.honors_priorities ? plan.priority : 1;
    query->running = fleet_.Start({plan.key, kMachine, plan.threads, priority, query->work, 0});
  }
}

double QueryEngine::SpeedAt(Nanos now) const {
  double speed = traits_.speed;
  if (traits_.slow_start_duration > 0 && now < started_at_ + traits_.slow_start_duration) {
    const double age = Seconds(now - started_at_) / Seconds(traits_.slow_start_duration);
    speed *= traits_.slow_start_initial_share + (1 - traits_.slow_start_initial_share) * age;
  }
  if (traits_.memory_shortage_policy != MemoryShortagePolicy::kSwap) return speed;
  double in_use = 0;
  for (const auto& [key, query] : active_queries_) in_use += std::min(query.granted, query.plan.memory_mb);
  const double over = std::clamp(in_use / traits_.memory_mb - 1, 0.0, 1.0);
  return speed / (1 + (kSwapSlowdown - 1) * over);
}

void QueryEngine::ReassignResources(Nanos now) {
  AdmitWaiting();
  RunAdmitted();
  fleet_.SetSpeed(kMachine, SpeedAt(now));
}

bool QueryEngine::Start(Nanos now, const QueryPlan& plan) {
  if (active_queries_.size() >= traits_.max_sessions) return false;
  ActiveQuery query;
  query.plan = plan;
  query.arrival_order = next_arrival_order_++;
  active_queries_.emplace(plan.key, query);
  ReassignResources(now);
  return true;
}

bool QueryEngine::Stop(Nanos now, const AttemptKey& key) {
  if (active_queries_.erase(key) == 0) return false;
  fleet_.Stop(key);
  if (idle()) idle_since_ = now;
  ReassignResources(now);
  return true;
}

void QueryEngine::SetPriority(const AttemptKey& key, int priority) {
  const auto it = active_queries_.find(key);
  if (it == active_queries_.end()) return;
  it->second.plan.priority = priority;
  if (traits_.honors_priorities) fleet_.SetPriority(key, priority);
}

void QueryEngine::Advance(Nanos now, std::vector<FinishedAttempt>& out) {
  const std::size_t first = out.size();
  fleet_.Advance(Seconds(now), out);
  for (std::size_t i = first; i < out.size(); ++i) active_queries_.erase(out[i].key);
  if (out.size() > first && idle()) idle_since_ = now;
  ReassignResources(now);
  TakeSnapshots(now);
}

float QueryEngine::ValueOf(ReportField field) const {
  double waiting = 0, threads = 0;
  for (const auto& [key, query] : active_queries_) {
    waiting += !query.admitted;
    threads += query.running ? query.plan.threads : 0;
  }
  switch (field) {
    case ReportField::kInflight:
      return static_cast<float>(active_queries_.size());
    case ReportField::kQueue:
      return static_cast<float>(waiting);
    case ReportField::kUtil:
      return static_cast<float>(std::min(1.0, threads / traits_.cores));
    case ReportField::kX0:
      return static_cast<float>(GrantedMemory() / traits_.memory_mb);
    default:
      return 0;
  }
}

void QueryEngine::TakeSnapshots(Nanos now) {
  if (traits_.report_interval <= 0 || now < next_snapshot_) return;
  while (next_snapshot_ <= now) next_snapshot_ += traits_.report_interval;
  Snapshot snapshot;
  snapshot.at = now;
  for (const ReportField field : traits_.report_fields)
    snapshot.report.values.at(snapshot.report.count++) = ValueOf(field);
  snapshots_.push_back(snapshot);
  if (snapshots_.size() > kMaxSnapshots) snapshots_.pop_front();
}

LoadReport QueryEngine::Report(Nanos now) const {
  const auto newest_visible =
      std::find_if(snapshots_.rbegin(), snapshots_.rend(),
                   [&](const Snapshot& snapshot) { return snapshot.at + traits_.report_delay <= now; });
  return newest_visible == snapshots_.rend() ? LoadReport{} : newest_visible->report;
}

double QueryEngine::Progress(const AttemptKey& key) const {
  const auto it = active_queries_.find(key);
  if (it == active_queries_.end() || !it->second.running) return 0;
  return 1 - fleet_.RemainingWork(key) / std::max(1e-9, it->second.work);
}

}  // namespace lemoncroft::simulation
