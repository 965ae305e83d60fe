// The batches that a voter writes to its store, run on a simulated disk that fails at any operation.
//
// Contract. Deterministic. Owner: a test or benchmark.
#ifndef LEMONCROFT_TESTING_SIMULATION_STORE_WORKLOAD_H_
#define LEMONCROFT_TESTING_SIMULATION_STORE_WORKLOAD_H_

#include "storage/database.h"
#include "testing/simulation/simulated_disk.h"

namespace lemoncroft::simulation {

inline constexpr int kWorkloadBatches = 30;

storage::Database::Options StoreOptionsOn(const SimulatedDisk& disk,
                                          std::uint64_t max_bytes = std::uint64_t{64} << 20);
// Batch `i` of the workload. The batches contain every kind of change.
storage::WriteBatch WorkloadBatch(int i);
// The reference for the store: applies a batch to contents in memory.
void ApplyBatch(const storage::WriteBatch& batch, storage::StoreContents& contents);
// Compares all but the records that the store adds itself.
bool SameContents(const storage::StoreContents& read, const storage::StoreContents& wanted);
// Opens a store and writes the batches in turn, until one fails; returns how many were reported durable.
int RunWorkload(const SimulatedDisk& disk);

struct CrashTestResult {
  int crashes = 0, failures = 0;
  std::string first_failure;
};
// Crashes the disk at each operation of the workload, with `variants` random outcomes each, then checks that
// the store opens with what was reported durable and accepts the next batch.
CrashTestResult CrashAtEachOperation(int variants);

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_STORE_WORKLOAD_H_
