// How the waiting work of all teams will leave: a fluid model of fair queueing, played ahead on a grid.
//
// At any time the teams with work waiting share the pace by their budgets, those that are behind first, so
// that their tags rise along one common level; work that still comes joins at the rate at which it lately
// came. A request leaves when the level reaches its team's tag and the work ahead of it. The fluid limit of
// start-time fair queueing is generalized processor sharing (Parekh and Gallager 1993). Pure: built from
// figures, asked for times.
#ifndef LEMONCROFT_ADMISSION_QUEUE_WAIT_FORECAST_H_
#define LEMONCROFT_ADMISSION_QUEUE_WAIT_FORECAST_H_

#include <vector>

#include "admission_queue/types.h"

namespace lemoncroft::admission_queue {

struct TenantFlow {         // of one team
  double cores = 0;         // its budget: its weight among those that wait
  double start_tag = 0;     // seconds, as in the ledger
  double waiting_work = 0;  // core-seconds
  double arrival_rate = 0;  // core-seconds a second
};

class WaitForecast {
 public:
  // `pace`: core-seconds a second that leave together. `ready_at`: seconds until any leaves.
  void Build(const std::vector<TenantFlow>& flows, double pace, double first_dispatch_at);

  // Seconds until the level reaches `tag`; past the grid's end it goes on as it last rose.
  double TimeUntil(double start_tag) const;
  bool built() const { return !times_.empty(); }

 private:
  std::vector<double> times_, levels_;
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_WAIT_FORECAST_H_
