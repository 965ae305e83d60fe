// Leases on the active configuration version. A LeaseHolder (every proxy) may act on a version only while
// its lease runs; a LeaseGrantor (the Raft leader) activates the next version only once every holder of a
// live lease has prepared it.
//
// Contract: no I/O and no clock. Every call is passed the monotonic time of its own process; the clock
// rates of two processes differ by at most LeaseOptions::max_clock_rate_difference. UsableVersion must be
// called in the same turn as the action that it permits, because a process may be stopped anywhere in
// between. A grantor grants only while its log confirms its leadership.
//
// Thread safety: none; each object belongs to one thread.
//
// Errors: a grant that answers no pending renewal is ignored.
//
// Design: docs/agreement.md.
//
// Sources: Gray and Cheriton, "Leases" (SOSP 1989); Ongaro's thesis (2014), section 6.4.
#ifndef LEMONCROFT_REPLICATED_CONFIG_LEASE_H_
#define LEMONCROFT_REPLICATED_CONFIG_LEASE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace lemoncroft::replicated_config {

using Span = std::chrono::nanoseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Span>;
using Version = std::uint64_t;  // 0: before the first configuration

// Disabled one at a time by mutation tests; nothing else changes them.
struct LeaseSafetyChecks {
  bool check_expiry_on_use = true;       // expiry is compared with the clock at each use, not by a timer
  bool start_at_request = true;          // a lease runs from when it was requested, not from when it arrived
  bool wait_after_election = true;       // a new leader waits until leases of its predecessor have expired
  bool grant_only_while_leading = true;  // leases and activations need the leader's own Raft lease
  bool wait_for_all_prepared = true;     // a version is activated once all holders have its document
  bool monotonic_versions = true;        // a holder never returns to an older version
  bool allow_for_clock_rates = true;     // holders expire early, and the grantor's records late
};

struct LeaseOptions {
  Span duration = std::chrono::milliseconds(1000);
  Span renewal_interval = std::chrono::milliseconds(250);
  double max_clock_rate_difference = 0.01;  // relative, between any two processes
  LeaseSafetyChecks safety_checks;
};

// A holder's request for a lease, or for more time on the one that it has.
struct LeaseRenewal {
  std::uint64_t sequence = 0;    // of this holder's renewals; the grant repeats it
  Version prepared_version = 0;  // the newest version whose document is stored and validated here
};

// The grantor's response to a LeaseRenewal.
struct LeaseGrant {
  std::uint64_t sequence = 0;
  Version active_version = 0;          // the version that the lease is for
  Version latest_version = 0;          // committed and to be prepared; at least active_version
  Span leader_clock{};                 // since the start of this leadership; used to compare clock rates
  std::uint64_t leadership_epoch = 0;  // leader_clock values of one epoch come from one clock
};

// One proxy's lease.
class LeaseHolder {
 public:
  explicit LeaseHolder(const LeaseOptions& options) : options_(options) {}

  // Returns the renewal to send to the leader. The lease runs from this call if it is granted.
  LeaseRenewal RequestRenewal(Time now);
  // Extends the lease, unless the grant answers no pending renewal or is for an older version.
  void HandleGrant(Time now, const LeaseGrant& grant);
  // Records that the document of `version` is stored here and valid.
  void MarkPrepared(Version version);

  // Returns the version that may be acted on at this instant (0 before the first), or nullopt without a valid
  // lease, without the version's document, or while the clock rates differ.
  std::optional<Version> UsableVersion(Time now) const;
  // The active version as of the last grant, whether or not the lease still runs.
  Version active_version() const { return active_version_; }
  // The latest committed version as of the last grant.
  Version latest_version() const { return latest_version_; }
  Version prepared_version() const { return prepared_version_; }
  Time lease_expiry() const { return expiry_; }
  // Whether this clock and the leader's differ in rate by more than the options allow. No version is usable
  // meanwhile.
  bool clock_rates_differ() const { return clock_rates_differ_; }

  // Returns all state that influences later calls, with times relative to `now`, for the model checker. Clock
  // samples are left out: clocks have one rate there.
  std::string CanonicalState(Time now) const;
  // Runs the timer that stands in for check_expiry_on_use when a mutation test disables it.
  void Tick(Time now) { unexpired_at_last_tick_ = now < expiry_; }

 private:
  void CompareClockRates(Time now, const LeaseGrant& grant);

  struct ClockSample {
    Time local{};
    Span leader{};
  };

  LeaseOptions options_;
  std::uint64_t last_sequence_ = 0;
  std::map<std::uint64_t, Time> pending_renewals_;  // when each was requested, by sequence
  Version active_version_ = 0, latest_version_ = 0, prepared_version_ = 0;
  Time expiry_{};
  bool unexpired_at_last_tick_ = false;
  bool clock_rates_differ_ = false;
  std::deque<ClockSample> clock_samples_;  // of one leadership epoch
  std::uint64_t leadership_epoch_ = 0;
};

// The leases that a leader has granted in its current term.
class LeaseGrantor {
 public:
  explicit LeaseGrantor(const LeaseOptions& options) : options_(options) {}

  // Starts a leadership. Leases of earlier leaders are unknown: nothing is activated until they have expired.
  void BeginLeadership(Time now, std::uint64_t leadership_epoch);
  // Records and returns a lease for `from`, or nullopt where none may be granted. `leads`: the leader's own
  // Raft lease is valid at this instant.
  std::optional<LeaseGrant> HandleRenewal(Time now, bool leads, const std::string& from,
                                          const LeaseRenewal& renewal, Version active_version,
                                          Version latest_version);
  // Whether every holder of a live lease has prepared `version`. It is called for each renewal while a
  // version waits, so its cost does not grow with the number of holders.
  bool MayActivate(Time now, bool leads, Version version) const;
  // The live holders that have not prepared `version`, with the version that each has prepared.
  std::map<std::string, Version> UnpreparedHolders(Time now, Version version) const;
  // The live holders, with the version that each has prepared.
  std::map<std::string, Version> LiveHolders(Time now) const;
  // The number of leases on record, including expired ones that were not dropped yet.
  std::size_t recorded_leases() const { return leases_.size(); }
  // Returns the record of one holder for the model checker; for an empty name, that of the leadership.
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
  std::map<Version, std::set<ExpiryAndHolder>> leases_by_prepared_version_;  // index of leases_
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_LEASE_H_
