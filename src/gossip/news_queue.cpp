#include "gossip/news_queue.h"

#include <utility>

namespace lemoncroft::gossip {

void NewsQueue::Push(News news) {
  const InstanceId id = news.record.id;
  Drop(id);
  if (queued_.size() >= most_) Drop(std::get<2>(*std::prev(ranks_.end())));
  const std::uint64_t order = next_--;
  ranks_.emplace(0, order, id);
  queued_.emplace(id, Queued{std::move(news), 0, order});
}

void NewsQueue::Drop(InstanceId id) {
  const auto it = queued_.find(id);
  if (it == queued_.end()) return;
  ranks_.erase({it->second.told, it->second.order, id});
  queued_.erase(it);
}

void NewsQueue::Clear() {
  queued_.clear();
  ranks_.clear();
}

void NewsQueue::Fill(std::vector<News>& into, std::size_t room, int limit) {
  std::vector<InstanceId> told;
  for (const auto& [times, order, id] : ranks_) {
    const Queued& queued = queued_.at(id);
    const std::size_t size = EncodedMost(queued.news);
    if (size > room) break;  // in order: what is large must not be passed over for ever
    room -= size;
    into.push_back(queued.news);
    told.push_back(id);
  }
  for (const InstanceId id : told) {
    Queued& queued = queued_.at(id);
    ranks_.erase({queued.told, queued.order, id});
    if (++queued.told >= limit)
      queued_.erase(id);
    else
      ranks_.emplace(queued.told, queued.order, id);
  }
}

}  // namespace lemoncroft::gossip
