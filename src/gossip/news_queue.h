// News that is still to be told: of each instance the newest only, told a bounded number of times, those told
// least often first. No I/O, no clock. Owned by a View; units: times told.
// Source: SWIM, section 4.1 (infection-style dissemination).
#ifndef LEMONCROFT_PEERS_NEWS_QUEUE_H_
#define LEMONCROFT_PEERS_NEWS_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "gossip/types.h"

namespace lemoncroft::gossip {

class NewsQueue {
 public:
  explicit NewsQueue(std::size_t most) : most_(most) {}

  // Takes the place of what was queued of the same instance. Where there is no room, what was told most
  // often goes.
  void Push(News news);
  // Appends what fits into `room` bytes and was told less often than `limit`, and counts it as told.
  void Fill(std::vector<News>& into, std::size_t room, int limit);
  void Clear();
  bool empty() const { return queued_.empty(); }
  std::size_t size() const { return queued_.size(); }

 private:
  struct Queued {
    News news;
    int told = 0;
    std::uint64_t order = 0;  // the newest has the lowest
  };
  using Rank = std::tuple<int, std::uint64_t, InstanceId>;  // told, order, instance

  void Drop(InstanceId id);

  std::size_t most_;
  std::uint64_t next_ = UINT64_MAX;
  std::map<InstanceId, Queued> queued_;
  std::set<Rank> ranks_;
};

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_PEERS_NEWS_QUEUE_H_
