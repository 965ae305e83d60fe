// Proxies that act on versions in virtual time: voters that agree on the log, all proxies that renew leases,
// and the notes of who could act on which version when.
//
// Deterministic for a seed. Owned by one test or measurement. The first machines are the voters'. Documents
// are numbers alone here: what is in them is the business of others. Times are true time.
#ifndef LEMONCROFT_STANDIN_RULE_FLEET_H_
#define LEMONCROFT_STANDIN_RULE_FLEET_H_

#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "rules/lease.h"
#include "standin/voters.h"

namespace lemoncroft::standin {

class RuleFleet {
 public:
  struct Plan {
    std::uint64_t seed = 1;
    std::size_t voters = 3, proxies = 7;
    rules::Terms terms;
    double drift = 0.005;                              // of each clock from true time
    Instant fetch = std::chrono::milliseconds(20);     // of a document
    Instant stated = std::chrono::milliseconds(1200);  // T of docs/agreement.md
  };
  explicit RuleFleet(const Plan& plan);

  // A new document, at whoever leads; its version, none where nobody leads.
  std::optional<rules::Version> Propose();
  void Stall(std::size_t proxy, Instant span);  // its voter too
  void CrashVoter(std::size_t i) { voters_.Crash(i); }
  void RestartVoter(std::size_t i);
  void SlowFetch(std::size_t proxy, Instant span) { proxies_[proxy].fetch = span; }
  void Rate(std::size_t proxy, double rate) { proxies_[proxy].rate = rate; }
  void RunFor(Instant span);
  Voters& voters() { return voters_; }
  Links& links() { return voters_.links(); }
  Instant now() const { return voters_.now(); }

  std::optional<rules::Version> MayAct(std::size_t proxy) const;
  const rules::Holder& holder(std::size_t proxy) const { return proxies_[proxy].holder; }
  // The longest time in which two proxies could act on different versions.
  Instant contradiction() const { return longest_; }
  // Instants at which a proxy could act on a version for longer than `stated` after a later one was first
  // acted on.
  std::uint64_t stale() const { return stale_; }
  // Instants at which a proxy was leased and in touch, and lacked the document in force.
  std::uint64_t without() const { return without_; }
  bool InForceEverywhere(rules::Version version) const;

 private:
  struct Proxy {
    explicit Proxy(const rules::Terms& terms) : holder(terms) {}
    rules::Holder holder;
    double rate = 1;
    rules::Time origin{};
    Instant held_until{}, ask_at{}, fetch{};
    rules::Version fetching = 0;
  };
  struct Leader {
    explicit Leader(const rules::Terms& terms) : granter(terms) {}
    rules::Granter granter;
    agreement::Term term = 0;
    rules::Version newest = 0, in_force = 0, forcing = 0;
  };
  struct Happening {
    Instant at{};
    std::uint64_t order = 0;
    std::size_t proxy = 0, voter = 0;
    std::optional<rules::Renewal> renewal;
    std::optional<rules::Grant> grant;
    rules::Version fetched = 0;
    bool operator>(const Happening& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  rules::Time Local(const Proxy& proxy) const;
  void Handle(const Happening& happening);
  void Lead(std::size_t i);
  void Note();

  Plan plan_;
  Voters voters_;
  std::mt19937_64 random_;
  std::uint64_t order_ = 0, without_ = 0;
  rules::Version proposed_ = 0;
  std::vector<Proxy> proxies_;
  std::vector<Leader> leaders_;
  std::priority_queue<Happening, std::vector<Happening>, std::greater<>> queue_;
  std::optional<Instant> apart_since_;
  Instant longest_{};
  std::map<rules::Version, Instant> first_acted_;
  std::uint64_t stale_ = 0;
};

}  // namespace lemoncroft::standin

#endif  // LEMONCROFT_STANDIN_RULE_FLEET_H_
