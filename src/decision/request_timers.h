// Timers of requests. The caller passes the current time. A timer can't be cancelled: the scheduler ignores a
// timer that its request no longer expects.
#ifndef LEMONCROFT_DECISION_REQUEST_TIMERS_H_
#define LEMONCROFT_DECISION_REQUEST_TIMERS_H_

#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "lemoncroft/types.h"

namespace lemoncroft::decision {

class RequestTimers {
 public:
  struct Timer {
    Nanos due = 0;
    RequestId id = 0;
  };

  void Schedule(Nanos due, RequestId id) { timers_.emplace(due, id); }

  // Removes and returns the earliest timer if it is due.
  std::optional<Timer> PopDue(Nanos now) {
    if (timers_.empty() || timers_.top().first > now) return std::nullopt;
    const auto [due, id] = timers_.top();
    timers_.pop();
    return Timer{due, id};
  }

 private:
  using Entry = std::pair<Nanos, RequestId>;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> timers_;
};

}  // namespace lemoncroft::decision

#endif  // LEMONCROFT_DECISION_REQUEST_TIMERS_H_
