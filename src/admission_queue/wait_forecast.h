// Predicts when the waiting work of all tenants will be dispatched, with a fluid model of fair queueing.
//
// The tenants with waiting work share the dispatch rate in proportion to their budgets, beginning with the
// least start tags, so that their start tags rise along one common level; arrivals continue at their recent
// rate. A request is dispatched when the level reaches the start tag of its tenant plus the work ahead of the
// request divided by the tenant's budget. The fluid limit of start-time fair queueing is generalized
// processor sharing (Parekh and Gallager 1993). The level is computed in advance for a fixed number of points
// in time and interpolated between them.
#ifndef LEMONCROFT_ADMISSION_QUEUE_WAIT_FORECAST_H_
#define LEMONCROFT_ADMISSION_QUEUE_WAIT_FORECAST_H_

#include <vector>

#include "admission_queue/types.h"

namespace lemoncroft::admission_queue {

// The state of one tenant when the forecast is made.
struct TenantFlow {
  double cores = 0;         // its budget
  double start_tag = 0;     // seconds, as in FairShareLedger
  double waiting_work = 0;  // core-seconds
  double arrival_rate = 0;  // core-seconds per second
};

class WaitForecast {
 public:
  // `dispatch_rate` is in core-seconds per second. `first_dispatch_delay` is the number of seconds from now
  // until the next dispatch.
  void Build(const std::vector<TenantFlow>& flows, double dispatch_rate, double first_dispatch_delay);

  // Returns the seconds until the level reaches `start_tag`, extrapolated after the last point.
  double TimeUntil(double start_tag) const;
  bool built() const { return !times_.empty(); }

 private:
  std::vector<double> times_, levels_;  // seconds after Build, and the level at that time
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_WAIT_FORECAST_H_
