// A workload of batches like those that a voter writes to its store, run on a simulated disk that can fail at
// any operation. Deterministic.
#ifndef LEMONCROFT_TESTING_SIMULATION_STORE_WORKLOAD_H_
#define LEMONCROFT_TESTING_SIMULATION_STORE_WORKLOAD_H_

#include "storage/database.h"
#include "testing/simulation/simulated_disk.h"

namespace lemoncroft::simulation {

inline constexpr int kWorkloadBatches = 30;

storage::Database::Options StoreOptionsOn(const SimulatedDisk& disk,
                                          std::uint64_t max_bytes = std::uint64_t{64} << 20);
// Returns batch `i` of the workload. The batches contain every kind of change.
storage::WriteBatch WorkloadBatch(int i);
// Applies a batch to contents in memory, as the reference for the store.
void ApplyBatch(const storage::WriteBatch& batch, storage::StoreContents& contents);
// Returns true if the contents are equal, except for the records that the store itself adds.
bool SameContents(const storage::StoreContents& read, const storage::StoreContents& expected);
// Opens a store and writes the batches in order until one fails. Returns the number of batches that the store
// reported as durable.
int RunWorkload(const SimulatedDisk& disk);

struct CrashTestResult {
  int crashes = 0, failures = 0;
  std::string first_failure;
};
// Crashes the disk at each operation of the workload, with `variants` random outcomes each. After each crash,
// checks that the store opens with the batches that were reported as durable and accepts the next batch.
CrashTestResult CrashAtEachOperation(int variants);

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_STORE_WORKLOAD_H_
