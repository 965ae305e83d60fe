// News that is still to be told: of each instance the newest only, told a bounded number of times, those told
// least often first. No I/O, no clock. Owned by a View; units: times told.
// Source: SWIM, section 4.1 (infection-style dissemination).
#ifndef LEMONCROFT_GOSSIP_BROADCAST_QUEUE_H_
#define LEMONCROFT_GOSSIP_BROADCAST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "gossip/types.h"

namespace lemoncroft::gossip {

class BroadcastQueue {
 public:
  explicit BroadcastQueue(std::size_t max_updates) : max_updates_(max_updates) {}

  // Takes the place of what was queued of the same instance. Where there is no room, what was told most
  // often goes.
  void Push(MemberUpdate update);
  // Appends what fits into `room` bytes and was told less often than `limit`, and counts it as told.
  void Fill(std::vector<MemberUpdate>& into, std::size_t room, int limit);
  void Clear();
  bool empty() const { return queued_.empty(); }
  std::size_t size() const { return queued_.size(); }

 private:
  struct Queued {
    MemberUpdate update;
    int transmits = 0;
    std::uint64_t order = 0;  // the newest has the lowest
  };
  using SendOrder = std::tuple<int, std::uint64_t, InstanceId>;  // told, order, instance

  void Remove(InstanceId id);

  std::size_t max_updates_;
  std::uint64_t next_order_ = UINT64_MAX;
  std::map<InstanceId, Queued> queued_;
  std::set<SendOrder> send_order_;
};

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_GOSSIP_BROADCAST_QUEUE_H_
