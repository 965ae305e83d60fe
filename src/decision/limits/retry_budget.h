// A retry budget: in any `window`, there are at most `free` retries plus `ratio` times the number of requests
// received in it.
//
// The caller passes the current time, in nanoseconds of the decision module's clock, which never runs
// backwards.
#ifndef LEMONCROFT_LIMITS_RETRY_BUDGET_H_
#define LEMONCROFT_LIMITS_RETRY_BUDGET_H_

#include <deque>

#include "lemoncroft/settings.h"
#include "lemoncroft/types.h"

namespace lemoncroft::limits {

class RetryBudget {
 public:
  void RecordRequest(Nanos now) { requests_.push_back(now); }
  void RecordRetry(Nanos now) { retries_.push_back(now); }

  // Returns true if the budget allows one more retry. `free` is divided by `parts`. Retries count for
  // `margin` longer than requests, since engines measure the window at the arrival of retries.
  bool Allows(const RetryBudgetSettings& budget, int parts, Nanos margin, Nanos now) {
    DropThrough(retries_, now - budget.window - margin);
    DropThrough(requests_, now - budget.window);
    const double allowed = budget.free / parts + budget.ratio * static_cast<double>(requests_.size());
    return static_cast<double>(retries_.size()) + 1 <= allowed;
  }

 private:
  static void DropThrough(std::deque<Nanos>& times, Nanos until) {
    while (!times.empty() && times.front() <= until) times.pop_front();
  }

  std::deque<Nanos> requests_;  // arrival times, oldest first
  std::deque<Nanos> retries_;   // send times, oldest first
};

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_RETRY_BUDGET_H_
