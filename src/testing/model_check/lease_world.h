// Model of leases for exhaustive search: real LeaseHolders and LeaseGrantors under every order in which
// leases are requested, granted, lost, duplicated, delayed and expire, versions are prepared and activated,
// and leaders change.
//
// Time advances in ticks of a quarter of a lease, with any number of events in one tick. The model covers
// only the properties of the log that leases rely on: a leader starts after its predecessor's lease has
// expired, and knows all committed entries. The invariant checked in each state is that no holder acts on an
// older version for longer than a lease after the successor of that version was activated. LeaseBudget bounds
// the search.
#ifndef LEMONCROFT_TESTING_MODEL_CHECK_LEASE_WORLD_H_
#define LEMONCROFT_TESTING_MODEL_CHECK_LEASE_WORLD_H_

#include <array>
#include <string>
#include <vector>

#include "replicated_config/lease.h"
#include "testing/model_check/search.h"

namespace lemoncroft::model_check {

struct LeaseBudget {
  int ticks = 9, renewals = 4, versions = 2, elections = 1, duplicates = 1, crashes = 1;
  std::size_t max_in_flight = 3;
};

class LeaseWorld {
 public:
  static constexpr std::size_t kHolders = 2, kLeaders = 2;

  LeaseWorld(const replicated_config::LeaseSafetyChecks& safety_checks, const LeaseBudget& budget);

  void AppendSuccessors(std::vector<LeaseWorld>& successors) const;
  std::string Violation() const { return violation_; }
  std::string Canonical() const;  // the smaller of the state's texts under both orders of the holders

 private:
  struct Leader {
    replicated_config::LeaseGrantor grantor;
    int lease_until = 0;                                                // in ticks
    replicated_config::Version latest_version = 0, active_version = 0;  // committed, known to the leader
  };
  struct InTransitMessage {
    bool grant = false;
    std::size_t holder = 0, leader = 0;
    replicated_config::LeaseRenewal renewal;
    replicated_config::LeaseGrant granted;
  };

  replicated_config::Time Now() const {
    return replicated_config::Time(std::chrono::hours(1) + now_ * kTick);
  }
  bool Leads(std::size_t leader) const { return now_ < leaders_[leader].lease_until; }
  void Deliver(const InTransitMessage& message);
  void UpdateLeaders();  // updates the committed versions that the current leaders know
  void Check();
  std::string TextOf(std::size_t holder) const;

  static constexpr replicated_config::Duration kTick = std::chrono::milliseconds(250);
  static constexpr int kLeaseTicks = 4;

  replicated_config::LeaseOptions options_;
  LeaseBudget remaining_budget_;
  int now_ = 0;
  std::vector<replicated_config::LeaseHolder> holders_;
  std::array<int, kHolders> renewals_{};
  std::vector<Leader> leaders_;
  std::size_t leader_ = 0;  // the newest leader
  std::uint64_t leadership_epoch_ = 1;
  std::vector<InTransitMessage> messages_;
  replicated_config::Version latest_version_ = 0, active_version_ = 0;
  std::vector<int> activated_at_;  // tick at which each version was activated, from version 0 on
  std::string violation_;
};

SearchResult SearchLeases(const replicated_config::LeaseSafetyChecks& safety_checks,
                          const LeaseBudget& budget, std::uint64_t max_states);

}  // namespace lemoncroft::model_check

#endif  // LEMONCROFT_TESTING_MODEL_CHECK_LEASE_WORLD_H_
