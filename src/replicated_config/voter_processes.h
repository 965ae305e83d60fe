// Which process of each voter is current. A message from a process that a later one has replaced must be
// ignored: the later one may have another store.
//
// Contract: plain container, bounded.
//
// Owner: a ConfigReplica.
//
// Thread safety: none.
//
// Errors: none.
#ifndef LEMONCROFT_REPLICATED_CONFIG_VOTER_PROCESSES_H_
#define LEMONCROFT_REPLICATED_CONFIG_VOTER_PROCESSES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "raft/types.h"

namespace lemoncroft::replicated_config {

using Instance = std::uint64_t;  // identifies one process of the fleet

class VoterProcesses {
 public:
  // Whether a later process of the same voter has said hello.
  bool IsReplaced(Instance instance) const { return replaced_.contains(instance); }
  // A process has sent a Raft message: it is the voter's first known one, or nothing changes.
  void Observe(const raft::NodeId& voter, Instance instance) { current_.try_emplace(voter, instance); }
  // A process has opened its store: it replaces the voter's earlier one.
  void Replace(const raft::NodeId& voter, Instance instance) {
    const auto [it, first] = current_.try_emplace(voter, instance);
    if (first || it->second == instance) return;
    if (replaced_.size() >= kMaxReplaced) replaced_.clear();
    replaced_.insert(std::exchange(it->second, instance));
  }

 private:
  static constexpr std::size_t kMaxReplaced = 4096;

  std::map<raft::NodeId, Instance> current_;
  std::set<Instance> replaced_;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_VOTER_PROCESSES_H_
