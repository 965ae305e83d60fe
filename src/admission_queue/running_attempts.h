// The attempts that run: what each has been charged, what it must have used by now, which have overrun.
//
// An attempt is charged its estimate when its request is handed over, more while it runs past that, and is
// set right when it ends, by what the answer told or else by the time that it ran. Owns the attempts' state;
// charges go to the Ledger, each core-second once.
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
    int priority = 1;  // as sent; ones of a lesser priority run more slowly beside others
    Work expected{};   // of the whole query
    Work charged{};    // so far, by whoever handed it over; zero for a further attempt
  };
  void Begin(const Start& start, Time now);

  // `told`: what the answer said the query needed, zero where nothing was told; `ran`: whether anything may
  // have run at all. Returns what was begun, or nothing where no such attempt is known: nothing is charged
  // twice.
  std::optional<Start> End(RequestId id, int attempt, Work reported_work, bool executed, Time now);

  // Charges what runs past its charge; done every beat.
  void ChargeOverruns(Time now);

  // When the first attempt of a team should end, from now: the rest of what it should need, or, of one that
  // is past that, half as long again as it has run (of what runs long the more is still to come, the longer
  // it has).
  Span TimeUntilFirstEnd(TenantId tenant, Time now) const;

  int overrun_threads() const { return overrun_threads_; }  // held by attempts far past their estimate
  int threads() const { return threads_; }
  std::size_t size() const { return attempts_.size(); }
  // Seconds that a core-second on one thread takes at present.
  double stretch(int priority) const {
    const PrioritySpeed& speed = speeds_[Index(priority)];
    return speed.busy / speed.done;
  }
  // How long a query should run, at the present pace.
  Span RunTime(Work work, int threads, int priority) const {
    return FromSeconds(Seconds(work) * stretch(priority) / threads);
  }

 private:
  struct Attempt {
    Start start;
    Time since{};
    bool overrun = false;
  };
  Work EstimatedUse(const Attempt& attempt, Time now) const;

  FairShareLedger& ledger_;
  std::map<std::pair<RequestId, int>, Attempt> attempts_;
  int threads_ = 0, overrun_threads_ = 0;
  struct PrioritySpeed {
    double busy = 1, done = 1;  // running means over answers: thread seconds, and the work done in them
    int answers = 0;
  };
  static std::size_t Index(int priority) { return static_cast<std::size_t>(std::clamp(priority, 0, 3)); }
  std::array<PrioritySpeed, 4> speeds_;  // by priority
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_RUNNING_ATTEMPTS_H_
