#include "testing/simulation/store_workload.h"

#include <algorithm>

namespace lemoncroft::simulation {

using namespace storage;

Database::Options StoreOptionsOn(const SimulatedDisk& disk, std::uint64_t max_bytes) {
  return {"store", "f/n1", max_bytes, disk.name()};
}

WriteBatch WorkloadBatch(int i) {
  WriteBatch batch;
  batch.records.emplace_back("promise", "term " + std::to_string(i));
  if (i % 5 == 4) batch.records.emplace_back("once", i % 10 == 4 ? "there" : "");
  const auto number =
      static_cast<std::uint64_t>(i + 1 - (i + 1) / 7);  // every seventh batch replaces the last entry
  if (i % 7 == 6) batch.truncate_after = number - 1;
  batch.log.emplace_back(
      number, std::string(static_cast<std::size_t>(50 + 97 * i % 900), static_cast<char>('a' + i % 26)));
  if (i % 12 == 11) batch.compact_through = number - 4;
  return batch;
}

void ApplyBatch(const WriteBatch& batch, StoreContents& contents) {
  for (const auto& [name, value] : batch.records)
    value.empty() ? void(contents.records.erase(name)) : void(contents.records[name] = value);
  if (batch.truncate_after)
    std::erase_if(contents.log, [&](const auto& e) { return e.first > *batch.truncate_after; });
  for (const auto& [number, value] : batch.log) contents.log[number] = value;
  if (batch.compact_through)
    std::erase_if(contents.log, [&](const auto& e) { return e.first <= *batch.compact_through; });
}

bool SameContents(const StoreContents& read, const StoreContents& expected) {
  StoreContents without_store_records = read;
  std::erase_if(without_store_records.records, [](const auto& r) { return r.first.starts_with("@"); });
  return without_store_records.records == expected.records && without_store_records.log == expected.log;
}

int RunWorkload(const SimulatedDisk& disk) {
  Database database(StoreOptionsOn(disk));
  if (!database.Open()) return 0;
  for (int i = 0; i < kWorkloadBatches; ++i)
    if (!database.Write(WorkloadBatch(i))) return i;
  return kWorkloadBatches;
}

namespace {

// Opens the store after a crash and writes the next batch. Returns a description of the failure, or an empty
// string on success. `states` holds the contents after each number of batches; `durable` is the number of
// batches that were reported as durable before the crash.
std::string CheckAfterCrash(const SimulatedDisk& disk, const std::vector<StoreContents>& states,
                            int durable) {
  Database database(StoreOptionsOn(disk));
  const auto read = database.Open();
  if (!read) return read.error().ToString();
  // The batch that the crash interrupted may or may not have been stored.
  const auto index = static_cast<std::size_t>(durable);
  const bool interrupted_batch_stored = durable < kWorkloadBatches && SameContents(*read, states[index + 1]);
  if (!SameContents(*read, states[index]) && !interrupted_batch_stored)
    return "the contents of the store differ from the batches reported as durable";
  if (const auto written = database.Write(WorkloadBatch(durable)); !written)
    return written.error().ToString();
  return {};
}

}  // namespace

CrashTestResult CrashAtEachOperation(int variants) {
  std::uint64_t operations = 0;
  {
    SimulatedDisk disk;
    RunWorkload(disk);
    operations = disk.operations();
  }
  std::vector<StoreContents> states(1);
  for (int i = 0; i < kWorkloadBatches; ++i) {
    states.push_back(states.back());
    ApplyBatch(WorkloadBatch(i), states.back());
  }
  CrashTestResult result;
  for (std::uint64_t operation = 1; operation <= operations; ++operation) {
    for (int variant = 1; variant <= variants; ++variant) {
      SimulatedDisk disk;
      disk.FailFromOperation(operation);
      const int durable = RunWorkload(disk);
      disk.Crash(static_cast<std::uint64_t>(variant));
      ++result.crashes;
      const std::string failure = CheckAfterCrash(disk, states, durable);
      if (failure.empty()) continue;
      if (result.failures++ == 0)
        result.first_failure = "operation " + std::to_string(operation) + ", variant " +
                               std::to_string(variant) +
                               ", batches reported as durable: " + std::to_string(durable) + ": " + failure;
    }
  }
  return result;
}

}  // namespace lemoncroft::simulation
