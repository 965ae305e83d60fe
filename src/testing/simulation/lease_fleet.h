// Simulates a fleet of LeaseHolders in virtual time, with a Raft log among voters and a LeaseGrantor at each
// voter. Records which versions the proxies can act on, and when.
//
// Deterministic for a seed. The first machines are the voters. Versions are only numbers and have no
// documents. All times are true time, not the time of a machine's own clock.
#ifndef LEMONCROFT_TESTING_SIMULATION_LEASE_FLEET_H_
#define LEMONCROFT_TESTING_SIMULATION_LEASE_FLEET_H_

#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "replicated_config/lease.h"
#include "testing/simulation/raft_cluster.h"
#include "testing/simulation/version_use_recorder.h"

namespace lemoncroft::simulation {

class LeaseFleet {
 public:
  struct Plan {
    std::uint64_t seed = 1;
    std::size_t voters = 3, proxies = 7;
    replicated_config::LeaseOptions lease_options;
    double max_clock_drift = 0.005;                         // maximum relative error of a clock's rate
    Instant fetch_delay = std::chrono::milliseconds(20);    // duration of fetching a document
    Instant stale_limit = std::chrono::milliseconds(1200);  // limit T in docs/agreement.md
  };
  explicit LeaseFleet(const Plan& plan);

  // Proposes a version at the leader and returns the version, or nullopt if there is no leader.
  std::optional<replicated_config::Version> Propose();
  // Stalls the proxy and the voter on the same machine, if there is one.
  void Stall(std::size_t proxy, Instant span);
  void CrashVoter(std::size_t i) { voters_.Crash(i); }
  void RestartVoter(std::size_t i);
  void SetFetchDelay(std::size_t proxy, Instant span) { proxies_[proxy].fetch_delay = span; }
  void SetClockRate(std::size_t proxy, double clock_rate) { proxies_[proxy].clock_rate = clock_rate; }
  void RunFor(Instant span);
  RaftCluster& voters() { return voters_; }
  Links& links() { return voters_.links(); }
  Instant now() const { return voters_.now(); }

  std::optional<replicated_config::Version> UsableVersion(std::size_t proxy) const;
  const replicated_config::LeaseHolder& holder(std::size_t proxy) const { return proxies_[proxy].holder; }
  // Returns the longest time for which two proxies could act on different versions.
  Instant longest_contradiction() const { return version_uses_.longest_contradiction(); }
  // Returns the number of observations of a proxy that could act on a version more than `stale_limit` after a
  // later version was first usable.
  std::uint64_t stale_uses() const { return version_uses_.stale_uses(); }
  // Returns the number of observations of a running proxy that had a lease but not the document of the active
  // version.
  std::uint64_t uses_without_document() const { return uses_without_document_; }
  // Returns true if every proxy can act on exactly this version.
  bool ActiveEverywhere(replicated_config::Version version) const;

 private:
  struct Proxy {
    explicit Proxy(const replicated_config::LeaseOptions& lease_options) : holder(lease_options) {}
    replicated_config::LeaseHolder holder;
    double clock_rate = 1;
    replicated_config::Time clock_origin{};
    Instant stalled_until{}, renew_at{}, fetch_delay{};
    replicated_config::Version fetching_version = 0;
  };
  struct Leader {
    explicit Leader(const replicated_config::LeaseOptions& lease_options) : grantor(lease_options) {}
    replicated_config::LeaseGrantor grantor;
    raft::Term term = 0;
    replicated_config::Version latest_version = 0, active_version = 0, activating_version = 0;
  };
  struct ScheduledEvent {
    Instant at{};
    std::uint64_t order = 0;
    std::size_t proxy = 0, voter = 0;
    std::optional<replicated_config::LeaseRenewal> renewal;
    std::optional<replicated_config::LeaseGrant> grant;
    replicated_config::Version fetched_version = 0;
    bool operator>(const ScheduledEvent& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  replicated_config::Time LocalTime(const Proxy& proxy) const;
  void Handle(const ScheduledEvent& event);
  void RunLeaderDuties(std::size_t i);
  void ObserveUse();
  void RequestRenewals();
  void HandleRenewal(const ScheduledEvent& event);
  void HandleGrant(const ScheduledEvent& event);

  Plan plan_;
  RaftCluster voters_;
  std::mt19937_64 random_;
  std::uint64_t next_event_order_ = 0, uses_without_document_ = 0;
  replicated_config::Version last_proposed_version_ = 0;
  std::vector<Proxy> proxies_;
  std::vector<Leader> leaders_;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> events_;
  VersionUseRecorder version_uses_;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_LEASE_FLEET_H_
