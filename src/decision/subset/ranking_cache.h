// A cache of the rendezvous order of the listed engines by key (Thaler and Ravishankar, "Using name-based
// mappings to increase hit rates", 1998). Engines are ranked for the table group of each request, while table
// groups and engines change rarely.
//
// The result of Rank() depends only on the engines, the key and `allowed`. The cache holds pointers to
// engines, at most kMaxCachedEntries. The owner calls Clear() whenever an engine is added, is removed or
// changes its `listed`. The cache is used by one thread.
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
  static constexpr std::size_t kMaxCachedEntries = std::size_t{1} << 20;  // pointers; 8 MB

  void Clear() {
    orders_.clear();
    entries_ = 0;
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

  std::size_t entries() const { return entries_; }

 private:
  const std::vector<Engine*>& Ordered(std::map<EngineId, Engine>& engines, std::uint64_t key) {
    const auto cached = orders_.find(key);
    if (cached != orders_.end()) return cached->second;
    if (entries_ + engines.size() > kMaxCachedEntries) Clear();
    const std::vector<Engine*>& order = orders_.emplace(key, Sorted(engines, key)).first->second;
    entries_ += order.size();
    return order;
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
  std::size_t entries_ = 0;  // pointers in all orders
};

}  // namespace lemoncroft::subset

#endif  // LEMONCROFT_SUBSET_RANKING_CACHE_H_
