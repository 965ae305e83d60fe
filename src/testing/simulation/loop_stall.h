// Measures how late the timers of an event loop fire while a store writes to a slow disk on its own thread.
//
// Runs in real time. All times are in milliseconds.
#ifndef LEMONCROFT_TESTING_SIMULATION_LOOP_STALL_H_
#define LEMONCROFT_TESTING_SIMULATION_LOOP_STALL_H_

#include "testing/simulation/simulated_disk.h"

namespace lemoncroft::simulation {

struct LoopStall {
  double longest_ms = 0;  // the greatest delay of a timer
  double p99_ms = 0;
  double writes_ms = 0;  // total duration of opening the store and of all writes
};
// Opens a store on the disk and writes `writes` batches, while a timer fires every millisecond on the loop.
LoopStall MeasureLoopStallDuringWrites(SimulatedDisk& disk, int writes);

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_LOOP_STALL_H_
