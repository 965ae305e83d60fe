// Accounts for the work charged to each tenant, as in start-time fair queueing (Goyal, Vin and Cheng 1996).
//
// A tenant's start tag, in seconds, advances by its charged work divided by its budget; the competing tenant
// with the least start tag is served next. Capacity that one tenant leaves unused goes to the others in
// proportion to their budgets until its next request. A start tag lags behind the virtual time by at most the
// tenant's burst, so unused budget doesn't accumulate.
//
// Owns the accounts. Tenant ids passed in must be below size().
#ifndef LEMONCROFT_ADMISSION_QUEUE_FAIR_SHARE_LEDGER_H_
#define LEMONCROFT_ADMISSION_QUEUE_FAIR_SHARE_LEDGER_H_

#include <string>
#include <vector>

#include "admission_queue/types.h"

namespace lemoncroft::admission_queue {

class FairShareLedger {
 public:
  struct Account {
    double cores = 0;        // this proxy's share of the budget, after scaling; 0: nothing is dispatched
    double burst = 0;        // seconds
    double start_tag = 0;    // seconds
    int threads = 0;         // of running attempts
    int max_threads = 0;     // 0: no limit
    bool competing = false;  // has waiting work that may be dispatched now
    Work charged{};          // in total, never negative
  };

  // Applies new budgets. Accounts keep their start tags and threads; accounts past the end of `tenants` lose
  // their budget. Budgets that add up to more than `capacity` cores are scaled down in proportion. Returns
  // the scale, at most 1.
  double Configure(const std::vector<TenantBudget>& tenants, double budget_share, double capacity);

  // The start tag of a tenant that begins to compete is raised to at least the virtual time minus its burst.
  void SetCompeting(TenantId tenant, bool competing);
  // Negative work is a refund; it is limited to the work charged so far.
  void Charge(TenantId tenant, Work work);
  void AcquireThreads(TenantId tenant, int threads) { accounts_[tenant].threads += threads; }
  void ReleaseThreads(TenantId tenant, int threads) { accounts_[tenant].threads -= threads; }

  bool HasBudget(TenantId tenant) const { return accounts_[tenant].cores > 0; }
  // Returns true if the tenant may use `threads` threads in total.
  bool WithinThreadCap(TenantId tenant, int threads) const;
  // Returns true if the start tag is at most MaxLead ahead of the virtual time.
  bool WithinMaxLead(TenantId tenant) const;
  double MaxLead(TenantId tenant) const;  // seconds
  // The least start tag of the competing tenants, or its last value while no tenant competes; seconds.
  double virtual_time() const { return virtual_time_; }
  const Account& at(TenantId tenant) const { return accounts_[tenant]; }
  std::size_t size() const { return accounts_.size(); }
  double cores() const { return cores_; }  // sum over all accounts

 private:
  void UpdateVirtualTime();

  std::vector<Account> accounts_;
  double cores_ = 0;
  double virtual_time_ = 0;
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_FAIR_SHARE_LEDGER_H_
