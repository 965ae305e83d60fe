// Leases on the version in force: what lets a proxy act on it, and what a leader must wait for before it puts
// the next one in force.
//
// Contract. No I/O, no clock: each call is passed the time of its own process's monotonic clock; clocks'
// rates differ by at most Terms::rates_differ. A Holder never may act once its lease could be over, wherever
// it was stopped in between: MayAct is asked in the turn of the act. A Granter grants only while its log says
// that it leads. docs/agreement.md is the design. Owner: one thread each. Errors: grants that were not asked
// for, or asked for too long ago, are dropped. Source: Gray, Cheriton, "Leases" (SOSP 1989); Ongaro's thesis
// (2014), section 6.4.
#ifndef LEMONCROFT_RULES_LEASE_H_
#define LEMONCROFT_RULES_LEASE_H_

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
struct Guards {
  bool checked_at_act = true;       // the lease's end is looked at in the act, not by a timer
  bool from_asking = true;          // a lease runs from when it was asked for, not from when it came
  bool wait_after_election = true;  // a new leader has no books: it waits for those of the last one
  bool only_while_leading = true;   // grants and changes only under the leader's own lease
  bool wait_for_prepared = true;    // nobody is left without the document that comes into force
  bool never_back = true;           // an older version never comes into force again at a holder
  bool shorter_by_rates = true;     // holders end early by what clocks may differ, books late
};

struct Terms {
  Span lease = std::chrono::milliseconds(1000);
  Span beat = std::chrono::milliseconds(250);  // of renewals
  double rates_differ = 0.01;
  Guards guards;
};

struct Renewal {
  std::uint64_t number = 0;  // of the asking
  Version prepared = 0;      // the newest document that it has read and checked whole
};
struct Grant {
  std::uint64_t number = 0;
  Version in_force = 0;
  Version newest = 0;       // committed, to be prepared
  Span leaders_clock{};     // since some start of the leader's: for comparing rates
  std::uint64_t reign = 0;  // of one leader in one term: its clock is one clock
};

class Holder {
 public:
  explicit Holder(const Terms& terms) : terms_(terms) {}

  Renewal Ask(Time now);
  void Take(Time now, const Grant& grant);
  // The document of that version is here, whole and checked.
  void Prepared(Version version);

  // The version that it may act on at this instant, 0 before there is any; none where it is cut off.
  std::optional<Version> MayAct(Time now) const;
  Version in_force() const { return in_force_; }
  Version newest() const { return newest_; }
  Version prepared() const { return prepared_; }
  Time lease_ends() const { return ends_; }
  // Its clock and the leader's run apart by more than they may: it takes itself for cut off.
  bool rates_apart() const { return apart_; }
  // All that decides what it does next, times as spans from now, for a search of states. Clocks run alike
  // there.
  std::string Canonical(Time now) const;
  // For the guard that is no guard: what a timer would have believed when it last ran.
  void Tick(Time now) { ticked_ = now < ends_; }

 private:
  void CompareRates(Time now, const Grant& grant);

  Terms terms_;
  std::uint64_t number_ = 0;
  std::map<std::uint64_t, Time> asked_;
  Version in_force_ = 0, newest_ = 0, prepared_ = 0;
  Time ends_{};
  bool ticked_ = false;
  bool apart_ = false;
  struct Pair {
    Time own{};
    Span leaders{};
  };
  std::deque<Pair> pairs_;
  std::uint64_t reign_ = 0;
};

class Granter {
 public:
  explicit Granter(const Terms& terms) : terms_(terms) {}

  // A leadership begins: what the last one granted isn't known.
  void Begin(Time now, std::uint64_t reign);
  // `leads`: by the log's own lease, at this instant. None where it may not grant.
  std::optional<Grant> Answer(Time now, bool leads, const std::string& from, const Renewal& renewal,
                              Version in_force, Version newest);
  // Whether that version may be put in force now: all that may act have prepared it. Asked with each renewal
  // while a version waits: as good as independent of the number of holders.
  bool MayEnforce(Time now, bool leads, Version version) const;
  // Those that it waits for.
  std::map<std::string, Version> Missing(Time now, Version version) const;
  // Who may act by its books, and what each has prepared.
  std::map<std::string, Version> Live(Time now) const;
  std::size_t booked() const { return books_.size(); }
  // For a search of states: what it has booked of one holder; of none: since when it grants.
  std::string Canonical(Time now, const std::string& holder) const;

 private:
  struct Booked {
    Time until{};
    Version prepared = 0;
  };
  using Until = std::pair<Time, std::string>;  // when a holder's lease is over, and whose it is

  void Book(const std::string& holder, const Booked& booked);
  void DropOver(Time now);
  bool AnyBehind(Time now, Version version) const;

  Terms terms_;
  Time begun_{};
  std::uint64_t reign_ = 0;
  std::map<std::string, Booked> books_;
  std::map<Version, std::set<Until>> by_prepared_;  // the same, by what each has prepared
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_RULES_LEASE_H_
