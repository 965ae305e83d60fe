// Queue of updates to piggyback on outgoing datagrams. It holds the newest update of each instance, sends
// the updates with the fewest transmissions first, and drops an update after a limited number of
// transmissions.
//
// No I/O, no clock. Owned by a MembershipView.
// Source: SWIM, section 4.1 (infection-style dissemination); memberlist's TransmitLimitedQueue.
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

  // Queues an update and removes an earlier one of the same instance. If the queue is full, the update that
  // was sent most often is dropped.
  void Push(MemberUpdate update);
  // Appends queued updates to `updates` until the next one does not fit into `free_bytes`, and counts a
  // transmission of each. An update is dropped after `max_transmits` transmissions.
  void Fill(std::vector<MemberUpdate>& updates, std::size_t free_bytes, int max_transmits);
  void Clear();
  bool empty() const { return queued_.empty(); }
  std::size_t size() const { return queued_.size(); }

 private:
  struct Queued {
    MemberUpdate update;
    int transmits = 0;
    std::uint64_t order = 0;  // lowest for the newest update
  };
  using SendOrder = std::tuple<int, std::uint64_t, InstanceId>;  // transmits, order, instance id

  void Remove(InstanceId id);

  std::size_t max_updates_;
  std::uint64_t next_order_ = UINT64_MAX;
  std::map<InstanceId, Queued> queued_;
  std::set<SendOrder> send_order_;
};

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_GOSSIP_BROADCAST_QUEUE_H_
