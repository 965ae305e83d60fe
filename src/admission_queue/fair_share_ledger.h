// What each team has had against its budget: virtual times, as in start-time fair queueing (Goyal, Vin and
// Cheng 1996). A team's tag is the work it was charged over its budget, in seconds; the team with the least
// tag goes next. So what one leaves unused goes to the others by their budgets, and ends with the first
// request of its owner. A tag falls behind the line's by the team's burst at most: no hoard of unused budget.
//
// Owns the accounts; knows nothing of lines, classes or attempts.
#ifndef LEMONCROFT_ADMISSION_QUEUE_FAIR_SHARE_LEDGER_H_
#define LEMONCROFT_ADMISSION_QUEUE_FAIR_SHARE_LEDGER_H_

#include <string>
#include <vector>

#include "admission_queue/types.h"

namespace lemoncroft::admission_queue {

class FairShareLedger {
 public:
  struct Account {
    double cores = 0;      // of this proxy's part, after scaling; 0: may not send
    double burst = 0;      // seconds
    double start_tag = 0;  // seconds
    int threads = 0;       // running
    int max_threads = 0;
    bool competing = false;  // has work that could leave now
    Work charged{};          // in all, never negative
  };

  // Takes over budgets; accounts of teams that keep their place in the list keep tags and threads. Budgets
  // that add up to more than `capacity` cores are scaled down, all alike. Returns the scale, 1 or less.
  double Configure(const std::vector<TenantBudget>& tenants, double budget_share, double capacity);

  // A team that begins to compete catches up with the line, less its burst.
  void SetCompeting(TenantId tenant, bool competing);
  void Charge(TenantId tenant, Work work);  // less than zero gives back, down to nothing charged
  void AcquireThreads(TenantId tenant, int threads) { accounts_[tenant].threads += threads; }
  void ReleaseThreads(TenantId tenant, int threads) { accounts_[tenant].threads -= threads; }

  bool MaySend(TenantId tenant) const { return accounts_[tenant].cores > 0; }
  bool WithinThreadCap(TenantId tenant, int threads) const;  // so many in all
  // Not so far ahead of a team that waits too that it would take what is that one's.
  bool WithinMaxLead(TenantId tenant) const;
  double MaxLead(TenantId tenant) const;                 // seconds that it may be ahead
  double virtual_time() const { return virtual_time_; }  // least tag that competes
  const Account& at(TenantId tenant) const { return accounts_[tenant]; }
  std::size_t size() const { return accounts_.size(); }
  double cores() const { return cores_; }  // of all accounts

 private:
  void UpdateVirtualTime();

  std::vector<Account> accounts_;
  double cores_ = 0;
  double virtual_time_ = 0;
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_FAIR_SHARE_LEDGER_H_
