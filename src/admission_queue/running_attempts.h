// Tracks the running attempts: the work charged for each, the work that it is expected to have done by now,
// and overruns.
//
// The estimated work of an attempt is charged when its request is dispatched, and more work is charged while
// the attempt runs past the estimate. When the attempt ends, its charge is settled by the work that the
// engine reported, or else by its run time. Owns the state of the attempts; charges go to the
// FairShareLedger, each core-second once.
#ifndef LEMONCROFT_ADMISSION_QUEUE_RUNNING_ATTEMPTS_H_
#define LEMONCROFT_ADMISSION_QUEUE_RUNNING_ATTEMPTS_H_

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "admission_queue/fair_share_ledger.h"
#include "admission_queue/types.h"

namespace lemoncroft::admission_queue {

class RunningAttempts {
 public:
  explicit RunningAttempts(FairShareLedger& ledger) : ledger_(ledger) {}

  struct Start {
    RequestId id = 0;
    int attempt = 0;
    TenantId tenant = 0;
    int threads = 1;
    int priority = 1;      // 0 to 3; attempts of a lower priority run more slowly beside others
    Work expected_work{};  // of the complete attempt
    Work charged{};        // so far: at first the charge of the dispatch, or zero for a retry
  };
  void Begin(const Start& start, Time now);

  // Settles the charge of an attempt. `reported_work` comes from the engine's response and is zero if
  // unknown. `may_have_run` is true if any part of the attempt may have run. Returns the start of the
  // attempt, or nothing if the attempt isn't known, so that a repeated call charges nothing.
  std::optional<Start> End(RequestId id, int attempt, Work reported_work, bool may_have_run, Time now);

  // Charges running attempts for the work that they are estimated to have done beyond their charge, and marks
  // attempts that have done more than kOverrunRatio times their expected work as overrunning. Called once per
  // update interval.
  void ChargeWorkDone(Time now);

  // Returns the expected time until the first of a tenant's attempts ends, or zero if no attempt is running.
  // An attempt past its expected run time is assumed to run for another half of the time that it has run so
  // far, since run times are heavy-tailed.
  Duration TimeUntilFirstEnd(TenantId tenant, Time now) const;

  // The threads of attempts that are estimated to have done far more than their expected work.
  int overrun_threads() const { return overrun_threads_; }
  int threads() const { return threads_; }
  std::size_t size() const { return attempts_.size(); }
  // Returns the recent slowdown at a priority: the ratio of thread time to CPU work.
  double slowdown(int priority) const {
    const SlowdownAverage& average = slowdowns_[Index(priority)];
    return average.thread_seconds / average.core_seconds;
  }
  // Returns the expected run time of `work` at the recent slowdown.
  Duration RunTime(Work work, int threads, int priority) const {
    return FromSeconds(Seconds(work) * slowdown(priority) / threads);
  }

 private:
  struct Attempt {
    Start start;
    Time started_at{};
    bool overrun = false;
  };
  // Estimates the work that an attempt has done since its start.
  Work EstimatedWorkDone(const Attempt& attempt, Time now) const;

  FairShareLedger& ledger_;
  std::map<std::pair<RequestId, int>, Attempt> attempts_;
  int threads_ = 0, overrun_threads_ = 0;
  struct SlowdownAverage {
    double thread_seconds = 1, core_seconds = 1;  // moving averages over responses
    int responses = 0;
  };
  static std::size_t Index(int priority) { return static_cast<std::size_t>(std::clamp(priority, 0, 3)); }
  std::array<SlowdownAverage, 4> slowdowns_;  // by priority
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_RUNNING_ATTEMPTS_H_
