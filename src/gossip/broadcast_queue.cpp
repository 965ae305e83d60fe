#include "gossip/broadcast_queue.h"

#include <utility>

namespace lemoncroft::gossip {

void BroadcastQueue::Push(MemberUpdate update) {
  const InstanceId id = update.record.id;
  Remove(id);
  if (queued_.size() >= max_updates_) Remove(std::get<2>(*std::prev(send_order_.end())));
  const std::uint64_t order = next_order_--;
  send_order_.emplace(0, order, id);
  queued_.emplace(id, Queued{std::move(update), 0, order});
}

void BroadcastQueue::Remove(InstanceId id) {
  const auto it = queued_.find(id);
  if (it == queued_.end()) return;
  send_order_.erase({it->second.transmits, it->second.order, id});
  queued_.erase(it);
}

void BroadcastQueue::Clear() {
  queued_.clear();
  send_order_.clear();
}

void BroadcastQueue::Fill(std::vector<MemberUpdate>& updates, std::size_t free_bytes, int max_transmits) {
  std::vector<InstanceId> sent;
  for (const auto& [transmits, order, id] : send_order_) {
    const Queued& queued = queued_.at(id);
    const std::size_t size = MaxEncodedSize(queued.update);
    if (size > free_bytes) break;  // not skipped, so that a large update does not starve
    free_bytes -= size;
    updates.push_back(queued.update);
    sent.push_back(id);
  }
  for (const InstanceId id : sent) {
    Queued& queued = queued_.at(id);
    send_order_.erase({queued.transmits, queued.order, id});
    if (++queued.transmits >= max_transmits)
      queued_.erase(id);
    else
      send_order_.emplace(queued.transmits, queued.order, id);
  }
}

}  // namespace lemoncroft::gossip
