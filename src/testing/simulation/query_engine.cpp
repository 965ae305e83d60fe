#include "testing/simulation/query_engine.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lemoncroft::simulation {
namespace {

constexpr Engine kMachine = 1;       // the engine's `Fleet` has only this machine
constexpr double kKnee = 1.5;        // threads per core above which throughput falls
constexpr double kThrash = 0.6;      // relative slowdown at twice the threshold
constexpr double kSpill = 2.5;       // additional work of a query without memory, relative to its work
constexpr double kSwapSlowdown = 6;  // slowdown when twice the engine's memory is in use
constexpr std::size_t kMaxSnapshots = 8;

double Seconds(Nanos time) { return static_cast<double>(time) / 1e9; }

}  // namespace

QueryEngine::QueryEngine(EngineTraits traits, Nanos started_at)
    : traits_(std::move(traits)), started_at_(started_at), fleet_(kKnee, kThrash), idle_since_(started_at) {
  fleet_.Add(kMachine, traits_.cores, traits_.speed);
  next_snapshot_ = started_at;
}

double QueryEngine::Wanted(const QueryPlan& plan) const {
  const bool told = traits_.honors_memory_grants && plan.grant_mb > 0;
  return std::min(told ? plan.grant_mb : plan.own_grant_mb, traits_.memory_mb);
}

double QueryEngine::Granted() const {
  double sum = 0;
  for (const auto& [key, resident] : residents_) sum += resident.granted;
  return sum;
}

void QueryEngine::Admit(Resident& resident) {
  const double wanted = Wanted(resident.plan);
  const double left = std::max(0.0, traits_.memory_mb - Granted());
  resident.granted =
      traits_.memory_shortage_policy == MemoryShortagePolicy::kTrim ? std::min(wanted, left) : wanted;
  resident.admitted = true;
  const double need = std::max(1e-9, resident.plan.memory_mb);
  const double missing = 1 - std::min(1.0, resident.granted / need);
  resident.work = resident.plan.work * (1 + kSpill * missing);
}

// Admits queries by priority and then by arrival. If queries queue for memory, no query overtakes the first
// one.
void QueryEngine::AdmitWaiting() {
  std::vector<Resident*> line;
  for (auto& [key, resident] : residents_)
    if (!resident.admitted) line.push_back(&resident);
  std::sort(line.begin(), line.end(), [](const Resident* a, const Resident* b) {
    if (a->plan.priority != b->plan.priority) return a->plan.priority > b->plan.priority;
    return a->turn < b->turn;
  });
  for (Resident* first : line) {
    const double granted = Granted();
    const bool fits = granted == 0 || granted + Wanted(first->plan) <= traits_.memory_mb;
    if (traits_.memory_shortage_policy == MemoryShortagePolicy::kQueue && !fits) return;
    Admit(*first);
  }
}

bool QueryEngine::Blocked(const Resident& resident) const {
  if (!resident.plan.holds_tables && !resident.plan.blocked_by_loads) return false;
  return std::any_of(residents_.begin(), residents_.end(), [&](const auto& entry) {
    const Resident& other = entry.second;
    return other.running && other.plan.holds_tables && other.plan.tables == resident.plan.tables;
  });
}

void QueryEngine::RunAdmitted() {
  std::vector<Resident*> waiting;
  for (auto& [key, resident] : residents_)
    if (resident.admitted && !resident.running) waiting.push_back(&resident);
  std::sort(waiting.begin(), waiting.end(),
            [](const Resident* a, const Resident* b) { return a->turn < b->turn; });
  for (Resident* resident : waiting) {
    if (Blocked(*resident)) continue;
    const QueryPlan& plan = resident->plan;
    const int priority = traits_.honors_priorities ? plan.priority : 1;
    resident->running = fleet_.Start({plan.key, kMachine, plan.threads, priority, resident->work, 0});
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
  for (const auto& [key, resident] : residents_)
    in_use += std::min(resident.granted, resident.plan.memory_mb);
  const double over = std::clamp(in_use / traits_.memory_mb - 1, 0.0, 1.0);
  return speed / (1 + (kSwapSlowdown - 1) * over);
}

void QueryEngine::Rearrange(Nanos now) {
  AdmitWaiting();
  RunAdmitted();
  fleet_.SetSpeed(kMachine, SpeedAt(now));
}

bool QueryEngine::Start(Nanos now, const QueryPlan& plan) {
  if (residents_.size() >= traits_.sessions) return false;
  Resident resident;
  resident.plan = plan;
  resident.turn = turns_++;
  residents_.emplace(plan.key, resident);
  Rearrange(now);
  return true;
}

bool QueryEngine::Stop(Nanos now, const AttemptKey& key) {
  if (residents_.erase(key) == 0) return false;
  fleet_.Stop(key);
  if (idle()) idle_since_ = now;
  Rearrange(now);
  return true;
}

void QueryEngine::SetPriority(const AttemptKey& key, int priority) {
  const auto it = residents_.find(key);
  if (it == residents_.end()) return;
  it->second.plan.priority = priority;
  if (traits_.honors_priorities) fleet_.SetPriority(key, priority);
}

void QueryEngine::Advance(Nanos now, std::vector<FinishedAttempt>& out) {
  const std::size_t first = out.size();
  fleet_.Advance(Seconds(now), out);
  for (std::size_t i = first; i < out.size(); ++i) residents_.erase(out[i].key);
  if (out.size() > first && idle()) idle_since_ = now;
  Rearrange(now);
  TakeSnapshots(now);
}

float QueryEngine::Value(ReportField field) const {
  double waiting = 0, threads = 0;
  for (const auto& [key, resident] : residents_) {
    waiting += !resident.admitted;
    threads += resident.running ? resident.plan.threads : 0;
  }
  switch (field) {
    case ReportField::kInflight:
      return static_cast<float>(residents_.size());
    case ReportField::kQueue:
      return static_cast<float>(waiting);
    case ReportField::kUtil:
      return static_cast<float>(std::min(1.0, threads / traits_.cores));
    case ReportField::kX0:
      return static_cast<float>(Granted() / traits_.memory_mb);
    default:
      return 0;
  }
}

void QueryEngine::TakeSnapshots(Nanos now) {
  if (traits_.report_every <= 0 || now < next_snapshot_) return;
  while (next_snapshot_ <= now) next_snapshot_ += traits_.report_every;
  Snapshot snapshot;
  snapshot.at = now;
  for (const ReportField field : traits_.report_fields)
    snapshot.report.values.at(snapshot.report.count++) = Value(field);
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
  const auto it = residents_.find(key);
  if (it == residents_.end() || !it->second.running) return 0;
  return 1 - fleet_.RemainingWork(key) / std::max(1e-9, it->second.work);
}

}  // namespace lemoncroft::simulation
