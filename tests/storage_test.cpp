// Tests the durable store against a crash at every disk operation, damaged data, a full disk and a second
// process.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <random>

#include "storage/worker.h"
#include "testing/simulation/loop_stall.h"
#include "testing/simulation/store_workload.h"

namespace lemoncroft {
namespace {

using namespace storage;

using simulation::ApplyBatch;
using simulation::kWorkloadBatches;
using simulation::RunWorkload;
using simulation::SameContents;
using simulation::StoreOptionsOn;
using simulation::WorkloadBatch;

// Returns the error code of a call, or kNone if the call succeeded.
template <typename T>
StoreErrorCode CodeOf(const tl::expected<T, StoreError>& result) {
  return result ? StoreErrorCode::kNone : result.error().code;
}

template <typename T>
std::string MessageOf(const tl::expected<T, StoreError>& result) {
  return result ? std::string() : result.error().message;
}

TEST(Storage, Reopened_ContainsAllWrittenBatches) {
  simulation::SimulatedDisk disk;
  EXPECT_EQ(RunWorkload(disk), kWorkloadBatches);
  StoreContents expected_contents;
  for (int i = 0; i < kWorkloadBatches; ++i) ApplyBatch(WorkloadBatch(i), expected_contents);
  Database reopened(StoreOptionsOn(disk));
  auto read = reopened.Open();
  ASSERT_EQ(CodeOf(read), StoreErrorCode::kNone) << MessageOf(read);
  EXPECT_TRUE(SameContents(*read, expected_contents));
  const auto compacted = reopened.Compact();
  EXPECT_EQ(CodeOf(compacted), StoreErrorCode::kNone) << MessageOf(compacted);
  read = Database(StoreOptionsOn(disk)).Open();
  ASSERT_EQ(CodeOf(read), StoreErrorCode::kNone) << MessageOf(read);
  EXPECT_TRUE(SameContents(*read, expected_contents));
}

TEST(Storage, CrashAtAnyOperation_LosesNoReportedBatch) {
  const simulation::CrashTestResult result = simulation::CrashAtEachOperation(3);
  EXPECT_EQ(result.failures, 0) << result.first_failure;
  EXPECT_GE(result.crashes, 300);
}

TEST(StorageWorker, SlowDisk_DoesNotBlockTheLoop) {
  simulation::SimulatedDisk disk;
  disk.set_sync_duration(std::chrono::milliseconds(300));
  EXPECT_LT(simulation::MeasureLoopStallDuringWrites(disk, 3).longest_ms, 100);
}

// Guards against a batch that is durable although an earlier one is not: the disk is full for the first batch
// only.
TEST(StorageWorker, FailedBatch_FailsLaterBatchesUntilReopened) {
  simulation::SimulatedDisk disk;
  runtime::Loop loop;
  Worker worker(loop, StoreOptionsOn(disk));
  std::vector<StoreErrorCode> codes;
  const auto run = [&]() -> runtime::Task<> {
    worker.Open();
    codes.push_back((co_await worker.NextCompletion()).error.code);
    disk.set_capacity(0);
    EXPECT_TRUE(worker.Write(1, WorkloadBatch(0)));
    codes.push_back((co_await worker.NextCompletion()).error.code);
    disk.set_capacity(UINT64_MAX);
    EXPECT_TRUE(worker.Write(2, WorkloadBatch(1)));
    codes.push_back((co_await worker.NextCompletion()).error.code);
    worker.Open();
    codes.push_back((co_await worker.NextCompletion()).error.code);
    EXPECT_TRUE(worker.Write(3, WorkloadBatch(0)));
    codes.push_back((co_await worker.NextCompletion()).error.code);
    loop.Stop();
  };
  loop.Spawn(run());
  loop.Run();
  EXPECT_EQ(codes, (std::vector<StoreErrorCode>{StoreErrorCode::kNone, StoreErrorCode::kFailed,
                                                StoreErrorCode::kFailed, StoreErrorCode::kNone,
                                                StoreErrorCode::kNone}));
}

TEST(Storage, FlippedBit_IsReportedOrChangesNothing) {
  StoreContents expected_contents;
  for (int i = 0; i < kWorkloadBatches; ++i) ApplyBatch(WorkloadBatch(i), expected_contents);
  int damaged = 0;
  std::mt19937_64 random(1);
  for (int i = 0; i < 400; ++i) {
    simulation::SimulatedDisk disk;
    RunWorkload(disk);
    const std::size_t size = disk.SizeOf("store");
    disk.FlipBit("store", random() % (8 * size));
    const auto read = Database(StoreOptionsOn(disk)).Open();
    if (read) {
      EXPECT_TRUE(SameContents(*read, expected_contents)) << "a wrong record was returned";
    } else {
      ++damaged;
      EXPECT_NE(read.error().code, StoreErrorCode::kNone);
      EXPECT_FALSE(read.error().message.empty());
    }
  }
  EXPECT_GT(damaged, 20);
}

TEST(Storage, FullDisk_FailsTheBatchAndKeepsEarlierOnes) {
  simulation::SimulatedDisk disk;
  Database database(StoreOptionsOn(disk));
  StoreContents expected_contents;
  ASSERT_EQ(CodeOf(database.Open()), StoreErrorCode::kNone);
  for (int i = 0; i < 10; ++i) {
    ASSERT_EQ(CodeOf(database.Write(WorkloadBatch(i))), StoreErrorCode::kNone);
    ApplyBatch(WorkloadBatch(i), expected_contents);
  }
  disk.set_capacity(0);
  auto written = database.Write(WorkloadBatch(10));
  EXPECT_EQ(CodeOf(written), StoreErrorCode::kFailed);
  EXPECT_FALSE(MessageOf(written).empty());
  disk.set_capacity(UINT64_MAX);
  written = database.Write(WorkloadBatch(10));
  EXPECT_EQ(CodeOf(written), StoreErrorCode::kNone) << MessageOf(written);
  ApplyBatch(WorkloadBatch(10), expected_contents);
  database.Close();
  const auto read = Database(StoreOptionsOn(disk)).Open();
  ASSERT_EQ(CodeOf(read), StoreErrorCode::kNone) << MessageOf(read);
  EXPECT_TRUE(SameContents(*read, expected_contents));
}

TEST(Storage, Limits_AreEnforced) {
  simulation::SimulatedDisk disk;
  Database database(StoreOptionsOn(disk, 1 << 20));
  ASSERT_EQ(CodeOf(database.Open()), StoreErrorCode::kNone);
  WriteBatch large;
  large.records.push_back({"x", std::string(kMaxValueBytes + 1, 'x')});
  EXPECT_EQ(CodeOf(database.Write(large)), StoreErrorCode::kFailed);
  int written = 0;
  for (; written < 100; ++written) {
    WriteBatch batch;
    batch.records.push_back({"r" + std::to_string(written), std::string(100'000, 'x')});
    if (!database.Write(batch)) break;
  }
  EXPECT_LT(written, 12) << "the store exceeds its limit of 1 MiB";
}

TEST(Storage, RealFiles_RejectAnotherOwnerOrProcess) {
  char folder[] = "/tmp/lemoncroft-store-XXXXXX";
  ASSERT_NE(::mkdtemp(folder), nullptr);
  const std::string path = std::string(folder) + "/store";
  {
    Database first({path, "f/n1"});
    const auto opened = first.Open();
    ASSERT_EQ(CodeOf(opened), StoreErrorCode::kNone) << MessageOf(opened);
    const auto written = first.Write(WorkloadBatch(0));
    EXPECT_EQ(CodeOf(written), StoreErrorCode::kNone) << MessageOf(written);
    Database second({path, "f/n1"});
    const auto locked = second.Open();
    EXPECT_EQ(CodeOf(locked), StoreErrorCode::kLocked) << MessageOf(locked);
  }
  Database other({path, "f/n2"});
  const auto foreign = other.Open();
  EXPECT_EQ(CodeOf(foreign), StoreErrorCode::kForeign);
  EXPECT_EQ(MessageOf(foreign), path + ": its owner is 'f/n1', not 'f/n2'");
  other.Close();
  std::ofstream(path)
      << "this is no store, and never was one; but it is long enough to be looked at as a file of pages";
  const auto no_store = Database({path, "f/n1"}).Open();
  EXPECT_EQ(CodeOf(no_store), StoreErrorCode::kForeign) << MessageOf(no_store);
  const auto directory = Database({folder, "f/n1"}).Open();
  EXPECT_EQ(CodeOf(directory), StoreErrorCode::kFailed) << MessageOf(directory);
  EXPECT_EQ(CodeOf(Database({"/nowhere/store", "f/n1"}).Open()), StoreErrorCode::kFailed);
  std::system(("rm -rf " + std::string(folder)).c_str());
}

TEST(Storage, Errors_NameOperationPathAndSqliteCode) {
  const auto missing = Database({"/nowhere/store", "f/n1"}).Open();
  ASSERT_FALSE(missing);
  EXPECT_EQ(missing.error().path, "/nowhere/store");
  EXPECT_EQ(missing.error().operation, "open");
  EXPECT_NE(missing.error().sqlite_code, 0);
  Database closed({"/nowhere/store", "f/n1"});
  const auto written = closed.Write({});
  ASSERT_FALSE(written);
  EXPECT_EQ(written.error().sqlite_code, 0);
  EXPECT_EQ(written.error().ToString(), "failed: /nowhere/store: the store is not open");
}

}  // namespace
}  // namespace lemoncroft
