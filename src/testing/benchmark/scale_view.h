// Benchmark of the cost of the membership protocol for one member of a large fleet, in virtual time: bytes,
// processor time and memory.
//
// All results except processor time and memory are deterministic for a seed. Units: bytes of the frames that
// a member sends, without UDP and IP headers; percent of one core.
#ifndef LEMONCROFT_TESTING_BENCHMARK_SCALE_VIEW_H_
#define LEMONCROFT_TESTING_BENCHMARK_SCALE_VIEW_H_

#include <cstddef>
#include <cstdint>

namespace lemoncroft::benchmark {

struct ViewPlan {
  std::uint64_t seed = 1;
  std::size_t members = 125;
  double idle_seconds = 20;
  double churn_warm_seconds = 10, churn_seconds = 10;  // members are replaced in both; the second is measured
  double replaced_per_minute = 0.1;                    // fraction of all members
  double attribute_seconds = 8;                        // during which all members publish attributes
  double attribute_interval_seconds = 3.76;            // between changes of the attributes
  bool pace_attributes = true;                         // with replicated_config::NotificationPacer
};

struct ViewCost {
  double bytes_per_s = 0, datagram_bytes_per_s = 0, messages_per_s = 0;  // per member, idle
  double core_percent = 0;                                               // per member, idle
  double churn_bytes_per_s = 0, churn_exchanges_per_s = 0, churn_core_percent = 0;
  double churn_busiest_bytes_per_s = 0;                          // of the member that sent most during churn
  double attribute_bytes_per_s = 0, attribute_core_percent = 0;  // while attributes change
  double bytes_per_member = 0;                                   // allocated memory per member and view
  // Part of that memory that is still in use after all views are destroyed.
  double memory_share_retained_after_end = 0;
  double settled_after_s = -1;  // from the last replacement until all views agree; -1: timed out
  std::size_t replaced = 0;
};

ViewCost MeasureView(const ViewPlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_SCALE_VIEW_H_
