// Queues of the requests that run one at a time for each ordering key, in order of arrival. A key is paused
// after an attempt that may still run.
//
// The caller passes the current time, in nanoseconds of the decision module's clock, which never runs
// backwards. A key is stored while it has requests or is paused.
#ifndef LEMONCROFT_LIMITS_ORDERING_KEY_QUEUES_H_
#define LEMONCROFT_LIMITS_ORDERING_KEY_QUEUES_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "lemoncroft/types.h"

namespace lemoncroft::limits {

class OrderingKeyQueues {
 public:
  using Key = std::uint64_t;

  void Append(Key key, RequestId id) { queues_[key].order.push_back(id); }

  // Does nothing if the request isn't queued.
  void Remove(Key key, RequestId id) {
    const auto it = queues_.find(key);
    if (it != queues_.end()) std::erase(it->second.order, id);
  }

  // Empties all queues. Paused keys remain paused.
  void Clear() {
    for (auto& [key, queue] : queues_) queue.order.clear();
  }

  void PauseUntil(Key key, Nanos until) { queues_[key].paused_until = until; }

  // Returns the first request of the key, or nothing if the key has no request or is paused. If it is paused,
  // TakeResumed will return the key.
  std::optional<RequestId> Front(Key key, Nanos now) {
    const auto it = queues_.find(key);
    if (it == queues_.end()) return std::nullopt;
    const Queue& queue = it->second;
    if (queue.paused_until > now) {
      paused_.emplace(queue.paused_until, key);
      return std::nullopt;
    }
    if (!queue.order.empty()) return queue.order.front();
    queues_.erase(it);
    return std::nullopt;
  }

  // Returns each key for which Front was called during its pause, once, after the pause is over.
  std::vector<Key> TakeResumed(Nanos now) {
    std::vector<Key> keys;
    for (; !paused_.empty() && paused_.begin()->first <= now; paused_.erase(paused_.begin()))
      keys.push_back(paused_.begin()->second);
    return keys;
  }

 private:
  struct Queue {
    std::deque<RequestId> order;
    Nanos paused_until = 0;
  };
  std::map<Key, Queue> queues_;
  std::set<std::pair<Nanos, Key>> paused_;
};

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_ORDERING_KEY_QUEUES_H_
