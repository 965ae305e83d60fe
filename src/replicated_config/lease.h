// Leases on the version in force: what lets a proxy act on it, and what a leader must wait for before it puts
// the next one in force.
//
// Contract. No I/O, no clock: each call is passed the time of its own process's monotonic clock; clocks'
// rates differ by at most Terms::rates_differ. A Holder never may act once its lease could be over, wherever
// it was stopped in between: MayAct is asked in the turn of the act. A Granter grants only while its log says
// that it leads. docs/agreement.md is the design. Owner: one thread each. Errors: grants that were not asked
// for, or asked for too long ago, are dropped. Source: Gray, Cheriton, "Leases" (SOSP 1989); Ongaro's thesis
// (2014), section 6.4.
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
using Version = std::uint64_t;

// Taken away by tests, one at a time; nothing else sets them.
struct LeaseSafetyChecks {
  bool check_expiry_on_use = true;       // the lease's end is looked at in the act, not by a timer
  bool start_at_request = true;          // a lease runs from when it was asked for, not from when it came
  bool wait_after_election = true;       // a new leader has no books: it waits for those of the last one
  bool grant_only_while_leading = true;  // grants and changes only under the leader's own lease
  bool wait_for_all_prepared = true;     // nobody is left without the document that comes into force
  bool monotonic_versions = true;        // an older version never comes into force again at a holder
  bool allow_for_clock_rates = true;     // holders end early by what clocks may differ, books late
};

struct LeaseOptions {
  Span duration = std::chrono::milliseconds(1000);
  Span renewal_interval = std::chrono::milliseconds(250);  // of renewals
  double max_clock_rate_difference = 0.01;
  LeaseSafetyChecks safety_checks;
};

struct LeaseRenewal {
  std::uint64_t sequence = 0;    // of the asking
  Version prepared_version = 0;  // the newest document that it has read and checked whole
};
struct LeaseGrant {
  std::uint64_t sequence = 0;
  Version active_version = 0;
  Version latest_version = 0;          // committed, to be prepared
  Span leader_clock{};                 // since some start of the leader's: for comparing rates
  std::uint64_t leadership_epoch = 0;  // of one leader in one term: its clock is one clock
};

class LeaseHolder {
 public:
  explicit LeaseHolder(const LeaseOptions& options) : options_(options) {}

  LeaseRenewal RequestRenewal(Time now);
  void HandleGrant(Time now, const LeaseGrant& grant);
  // The document of that version is here, whole and checked.
  void MarkPrepared(Version version);

  // The version that it may act on at this instant, 0 before there is any; none where it is cut off.
  std::optional<Version> UsableVersion(Time now) const;
  Version active_version() const { return active_version_; }
  Version latest_version() const { return latest_version_; }
  Version prepared_version() const { return prepared_version_; }
  Time lease_expiry() const { return expiry_; }
  // Its clock and the leader's run apart by more than they may: it takes itself for cut off.
  bool clock_rates_differ() const { return clock_rates_differ_; }
  // All that decides what it does next, times as spans from now, for a search of states. Clocks run alike
  // there.
  std::string StateText(Time now) const;
  // For the guard that is no guard: what a timer would have believed when it last ran.
  void Tick(Time now) { unexpired_at_last_tick_ = now < expiry_; }

 private:
  void CompareClockRates(Time now, const LeaseGrant& grant);

  LeaseOptions options_;
  std::uint64_t last_sequence_ = 0;
  std::map<std::uint64_t, Time> pending_renewals_;
  Version active_version_ = 0, latest_version_ = 0, prepared_version_ = 0;
  Time expiry_{};
  bool unexpired_at_last_tick_ = false;
  bool clock_rates_differ_ = false;
  struct ClockSample {
    Time local{};
    Span leader{};
  };
  std::deque<ClockSample> clock_samples_;
  std::uint64_t leadership_epoch_ = 0;
};

class LeaseGrantor {
 public:
  explicit LeaseGrantor(const LeaseOptions& options) : options_(options) {}

  // A leadership begins: what the last one granted isn't known.
  void BeginLeadership(Time now, std::uint64_t leadership_epoch);
  // `leads`: by the log's own lease, at this instant. None where it may not grant.
  std::optional<LeaseGrant> HandleRenewal(Time now, bool leads, const std::string& from,
                                          const LeaseRenewal& renewal, Version active_version,
                                          Version latest_version);
  // Whether that version may be put in force now: all that may act have prepared it. Asked with each renewal
  // while a version waits: as good as independent of the number of holders.
  bool MayActivate(Time now, bool leads, Version version) const;
  // Those that it waits for.
  std::map<std::string, Version> HoldersWithout(Time now, Version version) const;
  // Who may act by its books, and what each has prepared.
  std::map<std::string, Version> LiveHolders(Time now) const;
  std::size_t recorded_leases() const { return leases_.size(); }
  // For a search of states: what it has booked of one holder; of none: since when it grants.
  std::string StateText(Time now, const std::string& holder) const;

 private:
  struct RecordedLease {
    Time expiry{};
    Version prepared_version = 0;
  };
  using ExpiryAndHolder = std::pair<Time, std::string>;  // when a holder's lease is over, and whose it is

  void RecordLease(const std::string& holder, const RecordedLease& recorded_leases);
  void DropExpired(Time now);
  bool AnyHolderBehind(Time now, Version version) const;

  LeaseOptions options_;
  Time leading_since_{};
  std::uint64_t leadership_epoch_ = 0;
  std::map<std::string, RecordedLease> leases_;
  std::map<Version, std::set<ExpiryAndHolder>>
      leases_by_prepared_version_;  // the same, by what each has prepared
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_LEASE_H_
