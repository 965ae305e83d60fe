// What each team has had against its budget: virtual times, as in start-time fair queueing (Goyal, Vin and
// Cheng 1996). A team's tag is the work it was charged over its budget, in seconds; the team with the least
// tag goes next. So what one leaves unused goes to the others by their budgets, and ends with the first
// request of its owner. A tag falls behind the line's by the team's burst at most: no hoard of unused budget.
//
// Owns the accounts; knows nothing of lines, classes or attempts.
#ifndef LEMONCROFT_WAITING_LEDGER_H_
#define LEMONCROFT_WAITING_LEDGER_H_

#include <string>
#include <vector>

#include "admission_queue/types.h"

namespace lemoncroft::admission_queue {

class Ledger {
 public:
  struct Account {
    double cores = 0;  // of this proxy's part, after scaling; 0: may not send
    double burst = 0;  // seconds
    double tag = 0;    // seconds
    int threads = 0;   // running
    int most_threads = 0;
    bool competing = false;  // has work that could leave now
    Work charged{};          // in all, never negative
  };

  // Takes over budgets; accounts of teams that keep their place in the list keep tags and threads. Budgets
  // that add up to more than `capacity` cores are scaled down, all alike. Returns the scale, 1 or less.
  double Configure(const std::vector<TeamBudget>& teams, double part, double capacity);

  // A team that begins to compete catches up with the line, less its burst.
  void SetCompeting(Team team, bool competing);
  void Charge(Team team, Work work);  // less than zero gives back, down to nothing charged
  void Start(Team team, int threads) { accounts_[team].threads += threads; }
  void Stop(Team team, int threads) { accounts_[team].threads -= threads; }

  bool MaySend(Team team) const { return accounts_[team].cores > 0; }
  bool HasThreads(Team team, int threads) const;  // so many in all
  // Not so far ahead of a team that waits too that it would take what is that one's.
  bool WithinLead(Team team) const;
  double Lead(Team team) const;              // seconds that it may be ahead
  double line_tag() const { return line_; }  // least tag that competes
  const Account& at(Team team) const { return accounts_[team]; }
  std::size_t size() const { return accounts_.size(); }
  double cores() const { return cores_; }  // of all accounts

 private:
  void UpdateLine();

  std::vector<Account> accounts_;
  double cores_ = 0;
  double line_ = 0;
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_WAITING_LEDGER_H_
