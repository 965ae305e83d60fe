// Measures how late the timers of an event loop fire while a store writes to a slow disk on its own thread.
//
// Contract. Runs in real time. Owner: a test or benchmark. Units: milliseconds.
#ifndef LEMONCROFT_TESTING_SIMULATION_LOOP_STALL_H_
#define LEMONCROFT_TESTING_SIMULATION_LOOP_STALL_H_

#include "testing/simulation/simulated_disk.h"

namespace lemoncroft::simulation {

struct LoopStall {
  double longest_ms = 0;  // the latest timer
  double p99_ms = 0;
  double writes_ms = 0;  // all writes together, with opening the store
};
// Opens a store on the disk and writes this many batches, beside a timer each millisecond.
LoopStall MeasureLoopStallDuringWrites(SimulatedDisk& disk, int writes);

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_LOOP_STALL_H_
