#include "admission_queue/fair_share_ledger.h"

#include <algorithm>
#include <cmath>

namespace lemoncroft::admission_queue {

namespace {
// Lower bound of the maximum lead of a tenant: a heavy request is charged in full when it is dispatched, and
// must not delay the light requests of the same tenant.
constexpr double kMinMaxLead = 1.0;  // seconds
}  // namespace

double FairShareLedger::Configure(const std::vector<TenantBudget>& tenants, double budget_share,
                                  double capacity) {
  double total_cores = 0;
  for (const TenantBudget& tenant : tenants) total_cores += tenant.cores;
  const double scale = total_cores > capacity && capacity > 0 ? capacity / total_cores : 1;
  const double initial_start_tag = virtual_time_;
  const std::size_t previous_count = accounts_.size();
  accounts_.resize(std::max(previous_count, tenants.size()));
  cores_ = 0;
  for (std::size_t i = 0; i < accounts_.size(); ++i) {
    Account& account = accounts_[i];
    if (i >= previous_count) account.start_tag = initial_start_tag;
    const bool removed = i >= tenants.size();
    account.cores = removed ? 0 : tenants[i].cores * budget_share * scale;
    account.burst = removed ? 0 : Seconds(tenants[i].burst);
    // A small cap still leaves each proxy one thread.
    account.max_threads =
        removed || tenants[i].max_threads == 0
            ? 0
            : std::max(1, static_cast<int>(std::lround(tenants[i].max_threads * budget_share)));
    cores_ += account.cores;
  }
  UpdateVirtualTime();
  return scale;
}

void FairShareLedger::SetCompeting(TenantId tenant, bool competing) {
  Account& account = accounts_[tenant];
  if (account.competing == competing) return;
  if (competing) {
    // While no tenant competed, all requests were served on arrival and no tenant is owed service, so this
    // tenant starts from the greatest start tag.
    double base_tag = virtual_time_;
    if (std::none_of(accounts_.begin(), accounts_.end(), [](const Account& a) { return a.competing; })) {
      for (const Account& a : accounts_) base_tag = std::max(base_tag, a.start_tag);
    }
    account.start_tag = std::max(account.start_tag, base_tag - account.burst);
  }
  account.competing = competing;
  UpdateVirtualTime();
}

void FairShareLedger::Charge(TenantId tenant, Work work) {
  Account& account = accounts_[tenant];
  work = std::max(work, -account.charged);
  account.charged += work;
  // A tenant that has lost its budget may still have running work. Its start tag doesn't advance.
  if (account.cores > 0) account.start_tag += Seconds(work) / account.cores;
  UpdateVirtualTime();
}

bool FairShareLedger::WithinThreadCap(TenantId tenant, int threads) const {
  const Account& account = accounts_[tenant];
  return account.max_threads == 0 || threads <= account.max_threads;
}

double FairShareLedger::MaxLead(TenantId tenant) const {
  return std::max(kMinMaxLead, accounts_[tenant].burst);
}

bool FairShareLedger::WithinMaxLead(TenantId tenant) const {
  return accounts_[tenant].start_tag <= virtual_time_ + MaxLead(tenant);
}

void FairShareLedger::UpdateVirtualTime() {
  double least = HUGE_VAL;
  for (const Account& a : accounts_) {
    if (a.competing) least = std::min(least, a.start_tag);
  }
  if (least < HUGE_VAL) virtual_time_ = least;
}

}  // namespace lemoncroft::admission_queue
