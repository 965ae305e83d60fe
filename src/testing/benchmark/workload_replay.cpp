#include "testing/benchmark/workload_replay.h"

#include <algorithm>
#include <array>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <unordered_map>

#include "admission_queue/admission_queue.h"
#include "lemoncroft/gateway.h"
#include "testing/simulation/fleet.h"

namespace lemoncroft::benchmark {

namespace {

constexpr double kTickSeconds = 0.005;
constexpr double kLongWaitSeconds = 0.2;
constexpr std::array<double, 4> kBudgetShares = {0.4, 0.3, 0.2, 0.1};  // of the fleet's cores, by tenant
constexpr double kWorkSpread = 0.6;           // standard deviation of the logarithm of the work
constexpr double kEstimateSpread = 0.2;       // the same for the estimation error
constexpr double kBadPlanProbability = 0.05;  // for each attempt of a report
constexpr double kMinBadPlanFactor = 10, kMaxBadPlanFactor = 23;
constexpr double kMaxTables = 40;
constexpr double kTypicalRunSeconds = 4;  // typical run time of a heavy query

struct ClassProfile {
  double fraction;  // of all requests
  double work;      // mean, core-seconds
  int threads;
  double timeout;  // seconds
};
constexpr std::array<ClassProfile, 3> kClassProfiles = {
    {{0.805, 0.125, 1, 3}, {0.14, 2.85, 2, 20}, {0.055, 3.8, 2, 20}}};

constexpr Nanos kMs = 1'000'000;

Settings MakeSettings() {
  Settings s;
  s.tick = 5 * kMs;
  ClassSettings lookup, report, load;
  lookup.latency_objective = 600 * kMs;
  lookup.latency_objective_stretch = 2;
  lookup.client_timeout = 3000 * kMs;
  report.latency_objective = 1500 * kMs;
  report.latency_objective_stretch = 2.5;
  report.priority_weight = 10;
  load.latency_objective = 3000 * kMs;
  load.latency_objective_stretch = 3;
  load.priority_weight = 12;
  load.effect = Effect::kKeyed;
  report.client_timeout = load.client_timeout = load.repeat_window = 20'000 * kMs;
  report.threads = load.threads = 2;
  lookup.late_weight_share = report.late_weight_share = load.late_weight_share = 0.3;
  s.classes = {lookup, report, load};
  s.tenants.resize(kBudgetShares.size());
  s.kinds = {{12, 0}, {8, 0}};
  s.may_cancel = s.may_send_retry_after = s.honors_priorities = s.reports_cost = true;
  s.max_attempts = 5;
  s.max_retry_after = 10'000 * kMs;
  return s;
}

admission_queue::Time At(double seconds) {
  return admission_queue::Time(admission_queue::FromSeconds(seconds));
}

class WorkloadReplay {
 public:
  explicit WorkloadReplay(const WorkloadReplayOptions& options)
      : options_(options),
        random_(options.seed, 1),
        plan_random_(options.seed, 2),
        gateway_(MakeSettings(), options.seed) {
    admission_queue::Settings queue;
    for (std::size_t t = 0; t < kBudgetShares.size(); ++t) {
      queue.tenants.push_back(
          {.name = "team" + std::to_string(t), .burst = std::chrono::seconds(1), .barred_classes = {}});
    }
    const char* names[] = {"lookup", "report", "chip-load"};
    const double priority_weights[] = {1, 10, 12};
    for (std::size_t k = 0; k < kClassProfiles.size(); ++k) {
      queue.classes.push_back({.name = names[k],
                               .priority_weight = priority_weights[k],
                               .threads = kClassProfiles[k].threads,
                               .default_work = admission_queue::FromSeconds(kClassProfiles[k].work),
                               .light = k == 0});
    }
    queue.max_retry_after = std::chrono::seconds(30);
    std::vector<EngineEntry> entries;
    for (std::uint32_t e = 0; e < 8; ++e) {
      const bool large = e % 3 != 2;
      fleet_.Add(e, large ? 12 : 8, Uniform(0.9, 1.1));
      entries.push_back({.engine = e, .kind = static_cast<std::uint16_t>(large ? 0 : 1)});
    }
    cores_ = fleet_.cores();
    for (std::size_t t = 0; t < kBudgetShares.size(); ++t) queue.tenants[t].cores = kBudgetShares[t] * cores_;
    queue_ = std::make_unique<admission_queue::AdmissionQueue>(queue);
    queue_->SetFleetCores(cores_, At(0));
    events_.push_back(EngineList{ListKind::kFull, std::make_shared<std::vector<EngineEntry>>(entries)});
    double mean = 0;
    for (const ClassProfile& k : kClassProfiles) mean += k.fraction * k.work;
    mean += kClassProfiles[1].fraction * kClassProfiles[1].work * kBadPlanProbability *
            ((kMinBadPlanFactor + kMaxBadPlanFactor) / 2 - 1);
    full_rate_ = cores_ / mean;
  }

  WorkloadReplayResult Run() {
    ScheduleNextArrival();
    const double until = options_.seconds + 30;  // until all requests have ended
    for (std::uint64_t tick = 0; static_cast<double>(tick) * kTickSeconds < until; ++tick) {
      now_ = static_cast<double>(tick) * kTickSeconds;
      LoseEngines();
      CollectCompletions();
      while (!arrivals_.empty() && arrivals_.top().at <= now_) {
        const Arrival arrival = arrivals_.top();
        arrivals_.pop();
        Submit(arrival);
      }
      if (options_.use_admission_queue) StepQueue();
      StepModule();
      if (tick % 10 == 0) MeasureShares();
    }
    return Result();
  }

 private:
  struct ReportedEstimate {
    double at, wait;
  };
  struct Query {
    std::size_t tenant = 0, class_id = 0;
    double work = 0, estimated_work = 0, submitted_at = 0, deadline = 0, latest_start = 0;
    bool started = false, waiting = true, retry = false;
    int priority = 1, sent = 0;
    std::vector<ReportedEstimate> estimates;
  };
  struct Arrival {
    double at = 0;
    std::size_t tenant = 0, class_id = 0;
    double work = 0;
    bool retry = false, next = false;
    bool operator<(const Arrival& other) const { return at > other.at; }
  };

  double Uniform(double least, double most) {
    return boost::random::uniform_real_distribution<double>(least, most)(random_);
  }
  double LognormalFactor(double deviation) {  // mean 1
    return boost::random::lognormal_distribution<double>(-deviation * deviation / 2, deviation)(random_);
  }
  // Returns the offered load relative to the fleet's capacity. It rises from 0.6 to 1.4 and falls again.
  double RelativeLoadAt(double at) const {
    const double x = at / options_.seconds;
    const double hill = x < 0.3 ? x / 0.3 : x < 0.6 ? 1 : std::max(0.0, 1 - (x - 0.6) / 0.25);
    return 0.6 + 0.8 * hill;
  }

  void ScheduleNextArrival() {
    Arrival a;
    const double rate = full_rate_ * RelativeLoadAt(now_);
    a.at = std::max(now_, last_arrival_) + boost::random::exponential_distribution<double>(rate)(random_);
    last_arrival_ = a.at;
    if (a.at >= options_.seconds) return;
    double x = Uniform(0, 1);
    for (a.tenant = 0; a.tenant + 1 < kBudgetShares.size() && x >= kBudgetShares[a.tenant]; ++a.tenant)
      x -= kBudgetShares[a.tenant];
    x = Uniform(0, 1);
    for (a.class_id = 0; a.class_id + 1 < kClassProfiles.size() && x >= kClassProfiles[a.class_id].fraction;
         ++a.class_id)
      x -= kClassProfiles[a.class_id].fraction;
    a.work = kClassProfiles[a.class_id].work * LognormalFactor(kWorkSpread);
    a.next = true;
    arrivals_.push(a);
  }

  void Submit(const Arrival& arrival) {
    if (arrival.next) ScheduleNextArrival();
    const std::uint64_t id = ++last_id_;
    Query q;
    q.tenant = arrival.tenant;
    q.class_id = arrival.class_id;
    q.work = arrival.work;
    q.estimated_work = arrival.work * LognormalFactor(kEstimateSpread);
    q.submitted_at = now_;
    q.retry = arrival.retry;
    q.deadline = now_ + kClassProfiles[q.class_id].timeout * Uniform(0.8, 1);
    if (arrival.retry) {
      ++result_.retries;
    } else {
      ++result_.requests;
      requested_weight_ += MakeSettings().classes[q.class_id].priority_weight;
    }
    if (options_.use_admission_queue) {
      const auto submitted = queue_->Submit({.id = id,
                                             .tenant = static_cast<admission_queue::TenantId>(q.tenant),
                                             .class_id = static_cast<admission_queue::ClassId>(q.class_id),
                                             .estimated_work = admission_queue::FromSeconds(q.estimated_work),
                                             .deadline = At(q.deadline),
                                             .wants_updates = true},
                                            At(now_));
      if (submitted.rejected) {
        ++result_.rejected;
        ScheduleRetry(q, admission_queue::Seconds(submitted.rejected->retry_after));
        return;
      }
      q.estimates.push_back({now_, admission_queue::Seconds(submitted.estimate.wait)});
      q.latest_start = admission_queue::Seconds(submitted.latest_start.time_since_epoch());
    } else {
      q.estimates.push_back({now_, mean_waits_[q.class_id]});
    }
    queries_.emplace(id, q);
    if (!options_.use_admission_queue) SendToModule(id);
  }

  // Counts a violation if a request leaves the queue after its dispatch deadline, or after a request of the
  // same tenant and lane that was submitted later by more than the greatest ageing credit (the greatest ratio
  // of priority weights is 12 here).
  void CheckDispatchBound(const Query& q, bool dispatched) {
    double& last = last_dispatched_[q.tenant][q.class_id != 0];
    const bool overtaken = dispatched && last - q.submitted_at > 2 * std::log10(12.0) + kTickSeconds;
    if (now_ > q.latest_start + kTickSeconds || overtaken) ++result_.bound_violations;
    if (dispatched) last = std::max(last, q.submitted_at);
  }

  // Schedules a retry after `later` seconds for half of the requests that are rejected for the first time.
  void ScheduleRetry(const Query& q, double later) {
    if (q.retry || last_id_ % 2 == 0 || now_ + later >= options_.seconds) return;
    arrivals_.push({now_ + later, q.tenant, q.class_id, q.work, true, false});
  }

  void SendToModule(std::uint64_t id) {
    const Query& q = queries_.at(id);
    Request request;
    request.id = id;
    request.class_id = static_cast<std::uint16_t>(q.class_id);
    request.tenant = static_cast<std::uint16_t>(q.tenant);
    request.client_timeout = static_cast<Nanos>(std::max(0.0, q.deadline - now_) * 1e9);
    request.estimated_work = static_cast<Nanos>(q.estimated_work * 1e9);
    request.table_group = static_cast<std::uint32_t>(Uniform(0, kMaxTables));
    events_.emplace_back(request);
  }

  void StepQueue() {
    if (queue_->NextStepTime() > At(now_)) return;
    decisions_.clear();
    queue_->Step(At(now_), decisions_);
    for (const admission_queue::Decision& decision : decisions_) {
      if (const auto* dispatch = std::get_if<admission_queue::Dispatch>(&decision)) {
        CheckDispatchBound(queries_.at(dispatch->id), true);
        SendToModule(dispatch->id);
      } else if (const auto* reject = std::get_if<admission_queue::Reject>(&decision)) {
        ++result_.rejected;
        ++result_.rejected_waiting;
        const Query q = queries_.at(reject->id);
        CheckDispatchBound(q, false);
        CheckDeadline(q);
        queries_.erase(reject->id);
        ScheduleRetry(q, admission_queue::Seconds(reject->retry_after));
      } else if (const auto* update = std::get_if<admission_queue::EstimateUpdate>(&decision)) {
        queries_.at(update->id).estimates.push_back({now_, admission_queue::Seconds(update->estimate.wait)});
      }
    }
  }

  void StepModule() {
    std::erase_if(wakes_, [this](Nanos at) {
      if (at > NowNanos()) return false;
      events_.emplace_back(TimerFired{0});
      return true;
    });
    if (events_.empty()) return;
    std::vector<Event> events;
    events.swap(events_);
    std::vector<Action> actions;
    gateway_.Step(NowNanos(), events, actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { Apply(a); }, action);
  }

  Nanos NowNanos() const { return static_cast<Nanos>(now_ * 1e9) + 1'000'000'000; }

  void Apply(const ResourceGrant& grant) {
    Query& q = queries_.at(grant.id);
    q.priority = grant.priority;
    for (int n = 0; n < q.sent; ++n) fleet_.SetPriority({grant.id, n}, grant.priority);
  }
  void Apply(const Send& send) {
    Query& q = queries_.at(send.id);
    const int attempt = q.sent++;
    if (!q.started) RecordStart(q);
    if (options_.use_admission_queue) queue_->OnAttemptStarted(send.id, attempt, q.priority, At(now_));
    double work = q.work;
    boost::random::uniform_real_distribution<double> draw(0, 1);
    if (q.class_id == 1 && draw(plan_random_) < kBadPlanProbability)
      work *= kMinBadPlanFactor + (kMaxBadPlanFactor - kMinBadPlanFactor) * draw(plan_random_);
    const simulation::Fleet::AttemptSpec load{
        {send.id, attempt}, send.engine, kClassProfiles[q.class_id].threads, q.priority, work, q.tenant};
    start_times_[load.key] = now_;
    if (!fleet_.Start(load)) End({load.key, send.engine, now_, 0, true}, Outcome::kConnectFailed);
  }
  void Apply(const Cancel& cancel) {
    if (fleet_.Stop({cancel.id, cancel.attempt}))
      End({{cancel.id, cancel.attempt}, 0, now_, 0, false}, Outcome::kCancelled);
  }
  void Apply(const RejectRequest& rejection) {
    const Query q = queries_.at(rejection.id);
    ++result_.rejected;
    Complete(rejection.id);
    ScheduleRetry(q, static_cast<double>(rejection.retry_after) / 1e9);
  }
  void Apply(const FailRequest& fail) {
    ++result_.failed;
    Complete(fail.id);
  }
  void Apply(const WakeAt& wake) { wakes_.push_back(wake.at); }
  void Apply(const Probe&) {}
  void Apply(const WatchEngineList&) {}
  void Apply(const LogLine&) {}

  void End(const simulation::FinishedAttempt& f, Outcome outcome) {
    const auto [id, attempt] = f.key;
    const bool ok = outcome == Outcome::kOk;
    AttemptEnded ended;
    ended.id = id;
    ended.attempt = attempt;
    ended.engine = f.engine;
    ended.outcome = outcome;
    ended.request_finished = ok;
    const auto it = queries_.find(id);
    ended.elapsed = static_cast<Nanos>((now_ - start_times_[f.key]) * 1e9);
    start_times_.erase(f.key);
    if (ok) ended.work = static_cast<Nanos>(f.work * 1e9);
    events_.emplace_back(ended);
    if (options_.use_admission_queue) {
      queue_->OnAttemptEnded(id, attempt, admission_queue::FromSeconds(ok ? f.work : 0),
                             outcome != Outcome::kConnectFailed, At(now_));
    }
    if (!ok || it == queries_.end()) return;
    const Query& q = it->second;
    ++result_.served;
    result_.retries_served += q.retry;
    const ClassSettings c = MakeSettings().classes[q.class_id];
    const double latency_objective =
        static_cast<double>(c.latency_objective) / 1e9 + c.latency_objective_stretch * q.work / c.threads;
    served_weight_ +=
        q.retry ? 0
                : c.priority_weight * (now_ - q.submitted_at <= latency_objective ? 1 : c.late_weight_share);
    Complete(id);
  }

  void RecordStart(Query& q) {
    q.started = true;
    const double wait = now_ - q.submitted_at;
    waits_.push_back(wait);
    mean_waits_[q.class_id] += 0.1 * (wait - mean_waits_[q.class_id]);
    for (std::size_t i = 0; i < q.estimates.size(); ++i) {
      const double left = now_ - q.estimates[i].at;
      const double error = std::abs(q.estimates[i].wait - left);
      const bool accurate = left < kLongWaitSeconds ? error <= 0.05 : error <= 0.25 * left;
      ++result_.estimates;
      result_.accurate_estimates += accurate;
      if (left >= kLongWaitSeconds) {
        ++result_.long_wait_estimates;
        result_.accurate_long_wait_estimates += accurate;
      }
      if (i == 0) {
        ++result_.first_estimates;
        result_.accurate_first_estimates += accurate;
      }
    }
    CheckDeadline(q);
  }

  // Counts a request whose wait ended after its deadline. Called when a wait ends, whatever the reason.
  void CheckDeadline(const Query& q) {
    if (now_ > q.deadline + kTickSeconds) ++result_.past_deadline;
  }

  void Complete(std::uint64_t id) {
    const auto it = queries_.find(id);
    if (!it->second.started) CheckDeadline(it->second);
    if (options_.use_admission_queue) queue_->OnRequestCompleted(id, At(now_));
    queries_.erase(it);
  }

  void CollectCompletions() {
    std::vector<simulation::FinishedAttempt> ended;
    fleet_.Advance(now_, ended);
    for (const simulation::FinishedAttempt& f : ended) End(f, Outcome::kOk);
  }

  void LoseEngines() {
    for (std::size_t n = 0; n < 2; ++n) {
      if (engines_lost_ > n || now_ < options_.seconds * (n == 0 ? 0.35 : 0.5)) continue;
      ++engines_lost_;
      std::vector<simulation::FinishedAttempt> ended;
      fleet_.Advance(now_, ended);
      for (const simulation::FinishedAttempt& f : ended) End(f, Outcome::kOk);
      ended.clear();
      const auto engine = static_cast<std::uint32_t>(n * 3 + 1);
      fleet_.Remove(engine, ended);
      for (const simulation::FinishedAttempt& f : ended) End(f, Outcome::kReset);
      const EngineEntry removed{.engine = engine, .readiness = Readiness::kRemoved};
      events_.push_back(
          EngineList{ListKind::kChange, std::make_shared<std::vector<EngineEntry>>(1, removed)});
      queue_->SetFleetCores(fleet_.cores(), At(now_));
    }
  }

  void MeasureShares() {
    std::array<std::size_t, kBudgetShares.size()> waiting{};
    for (const auto& [id, q] : queries_) waiting[q.tenant] += !q.started && q.class_id != 0;
    const bool all = std::all_of(waiting.begin(), waiting.end(), [](std::size_t n) { return n > 0; });
    // The first kTypicalRunSeconds don't count: requests that are already running when the last tenant begins
    // to wait were started under other shares.
    if (!all) all_waiting_since_ = -1;
    if (all && all_waiting_since_ < 0) all_waiting_since_ = now_;
    const bool is_counted = all && now_ - all_waiting_since_ >= kTypicalRunSeconds;
    for (std::size_t t = 0; t < kBudgetShares.size(); ++t) {
      const double total_work = fleet_.consumed(t);
      if (is_counted) shared_work_[t] += total_work - last_work_[t];
      last_work_[t] = total_work;
    }
    if (is_counted) result_.shared_seconds += 10 * kTickSeconds;
  }

  WorkloadReplayResult Result() {
    double sum = 0;
    for (const double s : shared_work_) sum += s;
    for (std::size_t t = 0; t < kBudgetShares.size(); ++t) {
      const double share = sum > 0 ? shared_work_[t] / sum : 0;
      result_.shares.push_back(share);
      result_.share_error = std::max(result_.share_error, std::abs(share / kBudgetShares[t] - 1));
    }
    std::sort(waits_.begin(), waits_.end());
    const auto at = [this](double q) {
      return waits_.empty() ? 0
                            : waits_[static_cast<std::size_t>(q * static_cast<double>(waits_.size() - 1))];
    };
    result_.wait_p50 = at(0.5);
    result_.wait_p99 = at(0.99);
    result_.longest_wait = at(1);
    result_.weighted_success = served_weight_ / std::max(1.0, requested_weight_);
    return result_;
  }

  WorkloadReplayOptions options_;
  pcg32 random_, plan_random_;  // separate streams, so that outcomes don't influence arrivals
  Gateway gateway_;
  simulation::Fleet fleet_;
  std::unique_ptr<admission_queue::AdmissionQueue> queue_;
  double now_ = 0, cores_ = 0, full_rate_ = 0, last_arrival_ = 0;
  std::uint64_t last_id_ = 0;
  std::priority_queue<Arrival> arrivals_;
  std::unordered_map<std::uint64_t, Query> queries_;
  std::map<simulation::AttemptKey, double> start_times_;
  std::vector<Event> events_;
  std::vector<admission_queue::Decision> decisions_;
  std::vector<Nanos> wakes_;
  std::array<double, 3> mean_waits_{};
  std::vector<double> waits_;
  std::array<double, kBudgetShares.size()> shared_work_{}, last_work_{};
  double all_waiting_since_ = -1;
  double served_weight_ = 0, requested_weight_ = 0;
  std::array<std::array<double, 2>, kBudgetShares.size()>
      last_dispatched_{};  // submission time of the newest request dispatched, by lane
  std::size_t engines_lost_ = 0;
  WorkloadReplayResult result_;
};

}  // namespace

WorkloadReplayResult ReplayWorkload(const WorkloadReplayOptions& options) {
  return WorkloadReplay(options).Run();
}

}  // namespace lemoncroft::benchmark
