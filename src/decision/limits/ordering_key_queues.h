// Requests that run one at a time for each ordering key, in order of arrival. After an attempt that may still
// run the key is paused.
//
// Contract. No clock: each call is passed the time, in nanoseconds of the decision module, which never runs
// backwards. A key is kept while it has requests or is paused. Owner: the decision module. Errors: none;
// removing what isn't queued does nothing.
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

  void Remove(Key key, RequestId id) {
    const auto it = queues_.find(key);
    if (it != queues_.end()) std::erase(it->second.order, id);
  }

  // Empties all queues; paused keys stay paused.
  void Clear() {
    for (auto& [key, queue] : queues_) queue.order.clear();
  }

  void PauseUntil(Key key, Nanos until) { queues_[key].paused_until = until; }

  // The request whose turn it is. None if the key has no request or is paused; in the latter case TakeResumed
  // will return the key.
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

  // Keys for which Front was called while they were paused and whose pause is over; each is returned once.
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
