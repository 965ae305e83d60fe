// Leases on the active configuration version. A LeaseHolder, which every proxy has, may act on a version only
// while its lease is valid. A LeaseGrantor, which the Raft leader has, permits the activation of the next
// version only once every holder of a live lease has prepared it.
//
// These classes do no I/O and read no clock: each call is passed the monotonic time of its own process. The
// clock rates of two processes differ by at most LeaseOptions::max_clock_rate_difference. UsableVersion must
// be called in the same turn of the event loop as the action that it permits, because the process may be
// suspended at any point between the call and the action. A grantor grants leases only while the Raft log
// confirms its leadership.
//
// Not thread-safe: each object belongs to one thread.
//
// Design: docs/agreement.md.
//
// References: Gray and Cheriton, "Leases" (SOSP 1989); Ongaro's thesis (2014), section 6.4.
#ifndef LEMONCROFT_REPLICATED_CONFIG_LEASE_H_
#define LEMONCROFT_REPLICATED_CONFIG_LEASE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace lemoncroft::replicated_config {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using Version = std::uint64_t;  // version 0 precedes the first configuration

// The rules that safety depends on. Mutation tests disable one at a time; everywhere else all are true.
struct LeaseSafetyChecks {
  bool check_expiry_on_use = true;  // each use compares the expiry with the clock instead of using a timer
  bool start_at_request = true;     // a lease starts at its request, not at the arrival of the grant
  bool wait_after_election = true;  // a new leader waits until its predecessor's leases have expired
  bool grant_only_while_leading = true;  // grants and activations require the leader's own Raft lease
  bool wait_for_all_prepared = true;     // a version is activated only once all holders have prepared it
  bool monotonic_versions = true;        // a holder never returns to an older version
  bool allow_for_clock_rates = true;     // a lease expires earlier for its holder and later for the grantor
};

struct LeaseOptions {
  Duration duration = std::chrono::milliseconds(1000);
  Duration renewal_interval = std::chrono::milliseconds(250);
  double max_clock_rate_difference = 0.01;  // relative, between any two processes
  LeaseSafetyChecks safety_checks;
};

// A holder's request to obtain or to renew a lease.
struct LeaseRenewal {
  std::uint64_t sequence = 0;    // numbers the renewals of this holder; copied to the grant
  Version prepared_version = 0;  // the newest version whose document the holder has stored and validated
};

// The grantor's response to a LeaseRenewal.
struct LeaseGrant {
  std::uint64_t sequence = 0;
  Version active_version = 0;  // the version that the lease is for
  Version latest_version = 0;  // the latest committed version, to be prepared; at least active_version
  Duration leader_clock{};     // time since the leadership started; used to compare clock rates
  // Identifies the leadership; in a ConfigReplica it is the leader's Raft term. All leader_clock values of
  // one epoch come from the same clock.
  std::uint64_t leadership_epoch = 0;
};

// One proxy's lease.
class LeaseHolder {
 public:
  explicit LeaseHolder(const LeaseOptions& options) : options_(options) {}

  // Returns the renewal to send to the leader. If it is granted, the lease starts at `now`.
  LeaseRenewal RequestRenewal(Time now);
  // Extends the lease, unless the grant does not match a pending renewal or is for an older version.
  void HandleGrant(Time now, const LeaseGrant& grant);
  // Records that the leader has reported `version` as committed.
  void ObserveCommitted(Version version) { latest_version_ = std::max(latest_version_, version); }
  // Records that the document of `version` is stored here and valid.
  void MarkPrepared(Version version);

  // Returns the version that the holder may act on at `now` (0 before the first version). Returns nullopt
  // without a valid lease, while the clock rates differ, or if no version as new as the active one is
  // prepared. Whether the active version itself is prepared is checked by ConfigReplica::UsableVersion.
  std::optional<Version> UsableVersion(Time now) const;
  // The active version as of the last grant, even if the lease has expired.
  Version active_version() const { return active_version_; }
  // The latest version that this holder knows to be committed.
  Version latest_version() const { return latest_version_; }
  Version prepared_version() const { return prepared_version_; }
  Time lease_expiry() const { return expiry_; }
  // Returns true if the rates of this clock and the leader's differ by more than the options allow. No
  // version is usable then.
  bool clock_rates_differ() const { return clock_rates_differ_; }

  // Returns the state that influences later calls as a text for the model checker, with times relative to
  // `now`. Clock samples are omitted, because all clocks in the model have the same rate.
  std::string CanonicalState(Time now) const;
  // Runs the timer that replaces the check on use when a mutation test disables check_expiry_on_use.
  void Tick(Time now) { unexpired_at_last_tick_ = now < expiry_; }

 private:
  void CompareClockRates(Time now, const LeaseGrant& grant);

  struct ClockSample {
    Time local{};
    Duration leader{};
  };

  LeaseOptions options_;
  std::uint64_t last_sequence_ = 0;
  std::map<std::uint64_t, Time> pending_renewals_;  // the time of each request, by sequence
  Version active_version_ = 0, latest_version_ = 0, prepared_version_ = 0;
  Time expiry_{};
  bool unexpired_at_last_tick_ = false;
  bool clock_rates_differ_ = false;
  std::deque<ClockSample> clock_samples_;  // all of the same leadership epoch
  std::uint64_t leadership_epoch_ = 0;
};

// The leases that a leader has granted in its current term.
class LeaseGrantor {
 public:
  explicit LeaseGrantor(const LeaseOptions& options) : options_(options) {}

  // Starts a leadership. The leases of earlier leaders are unknown, so no version may be activated until they
  // have expired.
  void BeginLeadership(Time now, std::uint64_t leadership_epoch);
  // Records and returns a lease for the holder `from`, or returns nullopt if none may be granted. `leads`
  // means that the caller is the leader, holds its Raft lease at `now` and has committed an entry of its
  // term.
  std::optional<LeaseGrant> HandleRenewal(Time now, bool leads, const std::string& from,
                                          const LeaseRenewal& renewal, Version active_version,
                                          Version latest_version);
  // Returns true if `version` may be activated: every holder of a live lease has prepared it, the leases of
  // earlier leaders have expired, and `leads` is true (see HandleRenewal). The leader calls this after every
  // event while a version is pending; therefore the cost must not grow with the number of holders.
  bool MayActivate(Time now, bool leads, Version version) const;
  // The live holders that have not prepared `version`, with the version that each has prepared.
  std::map<std::string, Version> UnpreparedHolders(Time now, Version version) const;
  // The live holders, with the version that each has prepared.
  std::map<std::string, Version> LiveHolders(Time now) const;
  // The number of recorded leases, including expired ones that have not been dropped yet.
  std::size_t recorded_leases() const { return leases_.size(); }
  // Returns the state of one holder's lease as a text for the model checker; for an empty name, the state of
  // the leadership.
  std::string CanonicalState(Time now, const std::string& holder) const;

 private:
  struct RecordedLease {
    Time expiry{};
    Version prepared_version = 0;
  };
  using ExpiryAndHolder = std::pair<Time, std::string>;

  void RecordLease(const std::string& holder, const RecordedLease& lease);
  void DropExpired(Time now);
  bool AnyHolderBehind(Time now, Version version) const;

  LeaseOptions options_;
  Time leading_since_{};
  std::uint64_t leadership_epoch_ = 0;
  std::map<std::string, RecordedLease> leases_;                              // by holder
  std::map<Version, std::set<ExpiryAndHolder>> leases_by_prepared_version_;  // an index into leases_
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_LEASE_H_
