// The table groups that an engine is assumed to have in memory: those that it has read last.
//
// Contract. No clock, no I/O. Owner: the decision module, one for each engine. Errors: none.
#ifndef LEMONCROFT_SUBSET_WARM_TABLES_H_
#define LEMONCROFT_SUBSET_WARM_TABLES_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace lemoncroft::subset {

class WarmTables {
 public:
  // A request for this group goes to the engine. The group read longest ago is dropped.
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
