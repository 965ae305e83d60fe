// The changes that a voter makes to its store, played on a stand-in disk that goes away at any operation.
//
// Deterministic. Owner: a test or a measurement.
#ifndef LEMONCROFT_TESTING_SIMULATION_STORE_WORKLOAD_H_
#define LEMONCROFT_TESTING_SIMULATION_STORE_WORKLOAD_H_

#include "storage/database.h"
#include "testing/simulation/simulated_disk.h"

namespace lemoncroft::simulation {

inline constexpr int kWorkloadBatches = 30;

storage::Database::Options StoreOptionsOn(const SimulatedDisk& disk,
                                          std::uint64_t max_bytes = std::uint64_t{64} << 20);
// The changes of a voter, some of each kind.
storage::WriteBatch WorkloadBatch(int i);
// What the store must hold after a change, by a map.
void ApplyBatch(const storage::WriteBatch& batch, storage::StoreContents& contents);
// But for the store's own records.
bool SameContents(const storage::StoreContents& read, const storage::StoreContents& wanted);
// All changes in turn; how many were reported durable.
int RunWorkload(const SimulatedDisk& disk);

struct CrashTestResult {
  int crashes = 0, failures = 0;
  std::string first_failure;  // what was wrong at the first bad one
};
// A crash at every operation of the disk, what wasn't synced lost in several ways; then the store is opened.
CrashTestResult CrashAtEachOperation(int variants);

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_STORE_WORKLOAD_H_
