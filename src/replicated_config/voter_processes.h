// Tracks the current process of each voter. Messages from a process that a later process of the same voter
// has replaced must be ignored, because the later process may have another store.
//
// The current process of each voter name is stored without a limit, but at most kMaxReplaced replaced
// processes: when one more is replaced, all earlier ones are forgotten. Not thread-safe. Belongs to a
// ConfigReplica.
#ifndef LEMONCROFT_REPLICATED_CONFIG_VOTER_PROCESSES_H_
#define LEMONCROFT_REPLICATED_CONFIG_VOTER_PROCESSES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "raft/types.h"

namespace lemoncroft::replicated_config {

using InstanceId = std::uint64_t;  // identifies one process of the fleet, see gossip::InstanceId

class VoterProcesses {
 public:
  // Returns true if a later process of the same voter has sent a StoreHello and this has not been forgotten.
  bool IsReplaced(InstanceId instance) const { return replaced_.contains(instance); }
  // Records a process that has sent a Raft message, unless a process of this voter is already known.
  void Observe(const raft::NodeId& voter, InstanceId instance) { current_.try_emplace(voter, instance); }
  // Records a process that has opened its store. It replaces the voter's earlier process.
  void Replace(const raft::NodeId& voter, InstanceId instance) {
    const auto [it, first] = current_.try_emplace(voter, instance);
    if (first || it->second == instance) return;
    if (replaced_.size() >= kMaxReplaced) replaced_.clear();
    replaced_.insert(std::exchange(it->second, instance));
  }

 private:
  static constexpr std::size_t kMaxReplaced = 4096;

  std::map<raft::NodeId, InstanceId> current_;
  std::set<InstanceId> replaced_;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_VOTER_PROCESSES_H_
