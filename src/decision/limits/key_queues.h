// Requests that run one at a time for each key, in the order in which they were taken, with a rest behind an
// attempt whose end is not known.
//
// Contract. No clock: each call is passed the time, in nanoseconds of the decision module, which never runs
// backwards. A key is kept while it has requests or rests. Owner: the decision module. Errors: none; what is
// not in a queue is passed over.
#ifndef LEMONCROFT_LIMITS_KEY_QUEUES_H_
#define LEMONCROFT_LIMITS_KEY_QUEUES_H_

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

class KeyQueues {
 public:
  using Key = std::uint64_t;

  void Append(Key key, RequestId id) { queues_[key].order.push_back(id); }

  void Remove(Key key, RequestId id) {
    const auto it = queues_.find(key);
    if (it != queues_.end()) std::erase(it->second.order, id);
  }

  // Empties all queues; keys that rest go on resting.
  void Clear() {
    for (auto& [key, queue] : queues_) queue.order.clear();
  }

  void PauseUntil(Key key, Nanos until) { queues_[key].paused_until = until; }

  // The request whose turn it is. None while the key rests (`TakeResumed` tells of it then) or has no
  // request.
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

  // Keys that were asked for while they rested, and whose rest is over; each is told once.
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

#endif  // LEMONCROFT_LIMITS_KEY_QUEUES_H_
