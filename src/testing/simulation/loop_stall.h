// A loop that ticks while a store beside it waits for its disk: how late the ticks come.
//
// Real time. Owner: a test or a measurement.
#ifndef LEMONCROFT_TESTING_SIMULATION_LOOP_STALL_H_
#define LEMONCROFT_TESTING_SIMULATION_LOOP_STALL_H_

#include "testing/simulation/simulated_disk.h"

namespace lemoncroft::simulation {

struct LoopStall {
  double longest_ms = 0;  // a tick came so much late
  double p99_ms = 0;
  double syncs_ms = 0;  // that the writes took together
};
LoopStall MeasureLoopStallDuringWrites(SimulatedDisk& disk, int writes);

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_LOOP_STALL_H_
