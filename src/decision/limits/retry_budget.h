// A retry budget: in any span of `look_back`, attempts after a request's first may total `free` and `ratio`
// for each request taken in it.
//
// Contract. No clock: each call is passed the time, in nanoseconds of the decision module, which never runs
// backwards. Owner: whoever limits. Errors: none.
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

  // Whether one more retry fits. The budget is divided by `parts`; retries count for `margin` longer than
  // requests, since the span is measured where they arrive.
  bool Allows(const AttemptBudget& budget, int parts, Nanos margin, Nanos now) {
    DropThrough(retries_, now - budget.budget_window - margin);
    DropThrough(requests_, now - budget.budget_window);
    const double allowed = budget.free / parts + budget.ratio * static_cast<double>(requests_.size());
    return static_cast<double>(retries_.size()) + 1 <= allowed;
  }

 private:
  static void DropThrough(std::deque<Nanos>& times, Nanos until) {
    while (!times.empty() && times.front() <= until) times.pop_front();
  }

  std::deque<Nanos> requests_, retries_;
};

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_RETRY_BUDGET_H_
