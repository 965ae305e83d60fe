// The requests that wait to be sent, grouped by priority weight and class.
//
// Groups are ordered by priority weight, highest first, and then by class. Within a group, the request with
// the least work comes first; among equal ones, the oldest.
#ifndef LEMONCROFT_DECISION_PENDING_REQUESTS_H_
#define LEMONCROFT_DECISION_PENDING_REQUESTS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "lemoncroft/types.h"

namespace lemoncroft::decision {

class PendingRequests {
 public:
  struct GroupKey {
    double priority_weight = 0;
    std::uint16_t class_id = 0;

    bool operator<(const GroupKey& other) const {
      return priority_weight != other.priority_weight ? priority_weight > other.priority_weight
                                                      : class_id < other.class_id;
    }
  };
  using Group = std::set<std::pair<double, RequestId>>;  // pairs of work and request

  void Add(const GroupKey& key, double work, RequestId id) { groups_[key].emplace(work, id); }

  // Does nothing if the request isn't pending. Invalidates iterators into the group of the request.
  void Remove(const GroupKey& key, double work, RequestId id) {
    const auto group = groups_.find(key);
    if (group == groups_.end()) return;
    group->second.erase({work, id});
    if (group->second.empty()) groups_.erase(group);
  }

  bool empty() const { return groups_.empty(); }
  RequestId front() const { return groups_.begin()->second.begin()->second; }
  const std::map<GroupKey, Group>& groups() const { return groups_; }

  bool HasGroupLargerThan(std::size_t size) const {
    return std::any_of(groups_.begin(), groups_.end(),
                       [size](const auto& group) { return group.second.size() > size; });
  }

 private:
  std::map<GroupKey, Group> groups_;  // without empty groups
};

}  // namespace lemoncroft::decision

#endif  // LEMONCROFT_DECISION_PENDING_REQUESTS_H_
