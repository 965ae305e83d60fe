// The table groups that one engine is assumed to have in memory: those that it has read most recently.
#ifndef LEMONCROFT_SUBSET_WARM_TABLES_H_
#define LEMONCROFT_SUBSET_WARM_TABLES_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace lemoncroft::subset {

class WarmTables {
 public:
  // Records that a request for this group is sent to the engine. The least recently read group is evicted.
  void RecordRead(std::uint32_t group) {
    std::erase(groups_, group);
    groups_.push_front(group);
    if (groups_.size() > kMaxGroups) groups_.pop_back();
  }
  bool Holds(std::uint32_t group) const {
    return std::find(groups_.begin(), groups_.end(), group) != groups_.end();
  }

 private:
  static constexpr std::size_t kMaxGroups = 4;  // assumed to fit into an engine's memory

  std::deque<std::uint32_t> groups_;  // newest first
};

}  // namespace lemoncroft::subset

#endif  // LEMONCROFT_SUBSET_WARM_TABLES_H_
