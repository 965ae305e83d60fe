// Benchmark of what the membership protocol costs one member of a large fleet, in virtual time: bytes,
// processor time, memory.
//
// Deterministic for a seed except for processor time and memory. Units: bytes of the frames that a member
// sends, without UDP and IP headers; percent of one core.
#ifndef LEMONCROFT_TESTING_BENCHMARK_SCALE_VIEW_H_
#define LEMONCROFT_TESTING_BENCHMARK_SCALE_VIEW_H_

#include <cstddef>
#include <cstdint>

namespace lemoncroft::benchmark {

struct ViewPlan {
  std::uint64_t seed = 1;
  std::size_t members = 125;
  double calm_seconds = 20;
  double flux_warm_seconds = 10, flux_seconds = 10;  // replacements go on during both; the second is counted
  double replaced_per_minute = 0.1;                  // of all members
  double attribute_seconds = 8;                      // in which all members tell attributes, and how often:
  double attribute_interval_seconds = 3.76;
  bool pace_attributes = true;  // replicated_config::TellPace
};

struct ViewCost {
  double bytes_per_s = 0, datagram_bytes_per_s = 0, messages_per_s = 0;  // calm, a member
  double core_percent = 0;                                               // calm, a member
  double flux_bytes_per_s = 0, flux_exchanges_per_s = 0, flux_core_percent = 0;
  double flux_busiest_bytes_per_s = 0;                           // of the member that sent most in flux
  double attribute_bytes_per_s = 0, attribute_core_percent = 0;  // while each tells a new attribute so often
  double bytes_per_member = 0;             // of memory, for each member in each view, by the allocator
  double memory_share_kept_after_end = 0;  // part of that memory that is still in use when all views are gone
  double settled_after_s = -1;             // from the last replacement until all views agree; -1: not in time
  std::size_t replaced = 0;
};

ViewCost MeasureView(const ViewPlan& plan);

}  // namespace lemoncroft::benchmark

#endif  // LEMONCROFT_TESTING_BENCHMARK_SCALE_VIEW_H_
