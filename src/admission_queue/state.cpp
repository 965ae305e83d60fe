// The summary of AdmissionQueue for the state file.

#include <algorithm>
#include <utility>

#include "admission_queue/admission_queue.h"

namespace lemoncroft::admission_queue {

AdmissionQueue::State AdmissionQueue::Describe(Time now) {
  State state;
  state.fleet_cores = fleet_cores_;
  state.scale = budget_scale_;
  state.waiting = waiting_count_;
  state.running = running_.size();
  state.overrun_threads = running_.overrun_threads();
  for (const Lane lane : {kHeavy, kLight}) {
    state.dispatch_rate[lane] = lanes_[lane].rate_meter.PerSecond(AvailableCores());
    state.estimate_error[lane] = lanes_[lane].accuracy.mean_error();
    state.dispatched_not_started += lanes_[lane].dispatched.size();
  }
  for (TenantId t = 0; t < tenants_.size(); ++t) {
    const TenantQueue& tenant = tenants_[t];
    const FairShareLedger::Account& account = ledger_.at(t);
    TenantState summary;
    summary.name = settings_.tenants[t].name;
    summary.cores = account.cores;
    summary.charged_seconds = Seconds(account.charged);
    summary.start_tag = account.start_tag;
    summary.running_threads = account.threads;
    summary.waiting = tenant.size();
    summary.waiting_work = tenant.waiting_work[kHeavy] + tenant.waiting_work[kLight];
    for (ClassId k = 0; k < tenant.class_queues.size() && account.cores > 0; ++k) {
      summary.longest_wait = std::max(summary.longest_wait, EstimateForNewRequest(t, k, now).wait);
    }
    summary.submitted = tenant.submitted;
    summary.dispatched = tenant.dispatched;
    summary.rejected = tenant.rejected;
    state.tenants.push_back(std::move(summary));
  }
  return state;
}

}  // namespace lemoncroft::admission_queue
