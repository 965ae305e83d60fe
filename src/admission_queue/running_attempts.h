// The running attempts: the work charged for each, the work it should have used by now, and overruns.
//
// An attempt is charged its estimate when its request is dispatched, more while it runs past the estimate,
// and is settled when it ends, by the work the engine reported or else by its run time. Owns the attempts'
// state; charges go to the FairShareLedger, each core-second once.
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
    int priority = 1;  // 0 to 3; lower ones run more slowly beside others
    Work expected{};   // of the whole attempt
    Work charged{};    // so far, at the dispatch; zero for a retry
  };
  void Begin(const Start& start, Time now);

  // Settles the charge of an attempt. `reported_work`: from the engine's response, zero if unknown;
  // `executed`: whether any of it may have run. Returns the attempt's start, or nothing if it isn't known, so
  // that a repeated call charges nothing.
  std::optional<Start> End(RequestId id, int attempt, Work reported_work, bool executed, Time now);

  // Charges running attempts for work past their charge. Called once per update interval.
  void ChargeOverruns(Time now);

  // The expected time until the first of a tenant's attempts ends. One past its expected run time is assumed
  // to run half as long again as it has (run times are heavy-tailed). Zero if none runs.
  Duration TimeUntilFirstEnd(TenantId tenant, Time now) const;

  int overrun_threads() const {
    return overrun_threads_;
  }  // held by attempts far past their expected run time
  int threads() const { return threads_; }
  std::size_t size() const { return attempts_.size(); }
  // Recent ratio of thread time to CPU work, at a priority.
  double stretch(int priority) const {
    const PrioritySpeed& speed = speeds_[Index(priority)];
    return speed.busy / speed.done;
  }
  // The expected run time of `work` at the recent speed.
  Duration RunTime(Work work, int threads, int priority) const {
    return FromSeconds(Seconds(work) * stretch(priority) / threads);
  }

 private:
  struct Attempt {
    Start start;
    Time since{};
    bool overrun = false;
  };
  // The work that an attempt should have done since its start.
  Work EstimatedUse(const Attempt& attempt, Time now) const;

  FairShareLedger& ledger_;
  std::map<std::pair<RequestId, int>, Attempt> attempts_;
  int threads_ = 0, overrun_threads_ = 0;
  struct PrioritySpeed {
    double busy = 1, done = 1;  // moving averages over responses: thread-seconds, and core-seconds done
    int answers = 0;
  };
  static std::size_t Index(int priority) { return static_cast<std::size_t>(std::clamp(priority, 0, 3)); }
  std::array<PrioritySpeed, 4> speeds_;  // by priority
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_RUNNING_ATTEMPTS_H_
