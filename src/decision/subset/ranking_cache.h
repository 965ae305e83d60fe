// A cache of the rendezvous order of the listed engines by key (Thaler and Ravishankar, "Using name-based
// mappings to increase hit rates", 1998). Engines are ranked for the table group of each request, while table
// groups and engines change rarely.
//
// The result of Rank() depends only on the engines, the key and `allowed`. The cache holds pointers to
// engines and occupies about kMaxCachedBytes at most. The owner calls Clear() whenever an engine is added, is
// removed or changes its `listed`. The cache is used by one thread.
#ifndef LEMONCROFT_SUBSET_RANKING_CACHE_H_
#define LEMONCROFT_SUBSET_RANKING_CACHE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decision/subset/subset.h"
#include "lemoncroft/types.h"

namespace lemoncroft::subset {

// `Engine` has the members `listed` and `rank`.
template <typename Engine>
class RankingCache {
 public:
  static constexpr std::size_t kMaxCachedBytes = std::size_t{8} << 20;

  void Clear() {
    orders_.clear();
    cached_bytes_ = 0;
  }

  // Sets the `rank` of each listed engine that is allowed; 0 is the highest hash. Returns the number of these
  // engines.
  template <typename Allowed>
  std::size_t Rank(std::map<EngineId, Engine>& engines, std::uint64_t key, const Allowed& allowed) {
    std::size_t ranked = 0;
    for (Engine* engine : Ordered(engines, key))
      if (allowed(*engine)) engine->rank = ranked++;
    return ranked;
  }

  std::size_t cached_bytes() const { return cached_bytes_; }

 private:
  // Of each order beside its pointers: its node, its bucket, its vector and what the allocator adds.
  static constexpr std::size_t kBytesPerOrder = 128;

  const std::vector<Engine*>& Ordered(std::map<EngineId, Engine>& engines, std::uint64_t key) {
    const auto cached = orders_.find(key);
    if (cached != orders_.end()) return cached->second;
    const std::size_t bytes = kBytesPerOrder + engines.size() * sizeof(Engine*);
    if (cached_bytes_ + bytes > kMaxCachedBytes) Clear();
    cached_bytes_ += bytes;
    return orders_.emplace(key, Sorted(engines, key)).first->second;
  }

  static std::vector<Engine*> Sorted(std::map<EngineId, Engine>& engines, std::uint64_t key) {
    std::vector<std::pair<std::uint64_t, Engine*>> hashes;
    hashes.reserve(engines.size());
    for (auto& [id, engine] : engines)
      if (engine.listed) hashes.emplace_back(Mix(key ^ id), &engine);
    std::sort(hashes.begin(), hashes.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<Engine*> order;
    order.reserve(hashes.size());
    for (const auto& [hash, engine] : hashes) order.push_back(engine);
    return order;
  }

  std::unordered_map<std::uint64_t, std::vector<Engine*>> orders_;
  std::size_t cached_bytes_ = 0;  // of all orders, approximate
};

}  // namespace lemoncroft::subset

#endif  // LEMONCROFT_SUBSET_RANKING_CACHE_H_
