// Injects faults into the links between the proxies of a trial, and reports whether any link is currently
// faulty.
//
// Owned by the TrialRunner, on its loop; the Relay reads the same simulation::Links. Machines are numbered
// from 1, as in the Relay.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_LINK_FAULTS_H_
#define LEMONCROFT_TESTING_FAULT_TEST_LINK_FAULTS_H_

#include <cstdint>
#include <vector>

#include "runtime/loop.h"
#include "testing/fault_test/script.h"
#include "testing/simulation/links.h"

namespace lemoncroft::fault_test {

class LinkFaultInjector {
 public:
  // `gossip_period` decides which delays count as faults.
  LinkFaultInjector(runtime::Loop& loop, simulation::Links& links, runtime::Duration gossip_period)
      : loop_(loop), links_(links), gossip_period_(gossip_period) {}

  // Cut() and Restore() change one direction of a link.
  void Cut(std::size_t from, std::size_t to);
  void Restore(std::size_t from, std::size_t to);
  // Cuts and restores both directions in turn, each for `interval`, until Heal().
  void StartFlapping(std::size_t a, std::size_t b, runtime::Duration interval);
  // Partitions the machines into groups. A machine in several groups connects them. Replaces any earlier
  // partition.
  void Partition(const std::vector<std::vector<std::size_t>>& groups);
  // Ends cuts, flapping and partitions.
  void Heal();
  // Sets the conditions of all links.
  void SetConditions(const LinkConditions& conditions);

  bool IsOpen(std::size_t from, std::size_t to) const;
  // Returns true if links are so bad that a running process may legitimately be declared failed.
  bool AnyFault() const;

 private:
  runtime::Task<> Flap(std::size_t a, std::size_t b, runtime::Duration interval);

  runtime::Loop& loop_;
  simulation::Links& links_;
  runtime::Duration gossip_period_;
  bool partitioned_ = false, degraded_ = false;
  int flapping_count_ = 0;
  std::uint64_t heal_count_ = 0;
  std::size_t cut_count_ = 0;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_LINK_FAULTS_H_
