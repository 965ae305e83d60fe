// The durable store: a crash at every single operation of the disk, damage, a full disk, a second process.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <random>

#include "storage/worker.h"
#include "testing/simulation/slow_disk.h"
#include "testing/simulation/store_plays.h"

namespace lemoncroft {
namespace {

using namespace storage;

using simulation::ApplyChange;
using simulation::kStoreChanges;
using simulation::PlayStore;
using simulation::SameContents;
using simulation::StoreChange;
using simulation::StoreOn;

TEST(Storage, HoldsWhatWasWritten) {
  simulation::Disk disk;
  EXPECT_EQ(PlayStore(disk), kStoreChanges);
  Contents wanted, read;
  for (int i = 0; i < kStoreChanges; ++i) ApplyChange(StoreChange(i), wanted);
  std::string why;
  Database again(StoreOn(disk));
  EXPECT_EQ(again.Open(read, why), Health::kDone) << why;
  EXPECT_TRUE(SameContents(read, wanted));
  EXPECT_EQ(again.Compact(why), Health::kDone) << why;
  EXPECT_EQ(Database(StoreOn(disk)).Open(read, why), Health::kDone) << why;
  EXPECT_TRUE(SameContents(read, wanted));
}

TEST(Storage, ACrashAtAnyOperationLosesNothingThatWasReported) {
  const simulation::CrashPoints found = simulation::CrashAtEachOperation(3);
  EXPECT_EQ(found.bad, 0) << found.first;
  EXPECT_GE(found.points, 300);
}

// Five seconds a sync hold up the thread that waits for it, and nobody on the loop.
TEST(Storage, ASlowDiskNeverHoldsUpTheLoop) {
  simulation::Disk disk;
  disk.set_sync_takes(std::chrono::milliseconds(300));
  EXPECT_LT(simulation::LoopStallBesideWrites(disk, 3).longest_ms, 100);
}

// Batches behind one that failed must not be durable where it is not.
TEST(Storage, NothingIsWrittenBehindABatchThatFailed) {
  simulation::Disk disk;
  runtime::Loop loop;
  Worker worker(loop, StoreOn(disk));
  std::vector<Health> told;
  const auto run = [&]() -> runtime::Task<> {
    worker.Open();
    told.push_back((co_await worker.Next()).health);
    disk.set_room(0);
    worker.Write(1, StoreChange(0));
    told.push_back((co_await worker.Next()).health);
    disk.set_room(UINT64_MAX);
    worker.Write(2, StoreChange(1));
    told.push_back((co_await worker.Next()).health);
    worker.Open();
    told.push_back((co_await worker.Next()).health);
    worker.Write(3, StoreChange(0));
    told.push_back((co_await worker.Next()).health);
    loop.Stop();
  };
  loop.Spawn(run());
  loop.Run();
  EXPECT_EQ(told, (std::vector<Health>{Health::kDone, Health::kFailed, Health::kFailed, Health::kDone,
                                       Health::kDone}));
}

TEST(Storage, AFlippedBitIsFoundOrChangesNothing) {
  Contents wanted;
  for (int i = 0; i < kStoreChanges; ++i) ApplyChange(StoreChange(i), wanted);
  int damaged = 0;
  std::mt19937_64 random(1);
  for (int i = 0; i < 400; ++i) {
    simulation::Disk disk;
    PlayStore(disk);
    const std::size_t size = disk.SizeOf("store");
    disk.Flip("store", random() % (8 * size));
    Contents read;
    std::string why;
    const Health health = Database(StoreOn(disk)).Open(read, why);
    if (health == Health::kDone) {
      EXPECT_TRUE(SameContents(read, wanted)) << "a wrong record was handed out";
    } else {
      ++damaged;
      EXPECT_FALSE(why.empty());
    }
  }
  EXPECT_GT(damaged, 20);
}

TEST(Storage, AFullDiskIsToldAndLosesNothing) {
  simulation::Disk disk;
  Database database(StoreOn(disk));
  Contents contents, wanted;
  std::string why;
  ASSERT_EQ(database.Open(contents, why), Health::kDone);
  for (int i = 0; i < 10; ++i) {
    ASSERT_EQ(database.Write(StoreChange(i), why), Health::kDone);
    ApplyChange(StoreChange(i), wanted);
  }
  disk.set_room(0);
  EXPECT_EQ(database.Write(StoreChange(10), why), Health::kFailed);
  EXPECT_FALSE(why.empty());
  disk.set_room(UINT64_MAX);
  EXPECT_EQ(database.Write(StoreChange(10), why), Health::kDone) << why;
  ApplyChange(StoreChange(10), wanted);
  database.Close();
  EXPECT_EQ(Database(StoreOn(disk)).Open(contents, why), Health::kDone);
  EXPECT_TRUE(SameContents(contents, wanted));
}

TEST(Storage, BoundsAreKept) {
  simulation::Disk disk;
  Database database(StoreOn(disk, 1 << 20));
  Contents contents;
  std::string why;
  ASSERT_EQ(database.Open(contents, why), Health::kDone);
  Batch large;
  large.records.emplace_back("x", std::string(kValueMost + 1, 'x'));
  EXPECT_EQ(database.Write(large, why), Health::kFailed);
  int written = 0;
  for (; written < 100; ++written) {
    Batch batch;
    batch.records.emplace_back("r" + std::to_string(written), std::string(100'000, 'x'));
    if (database.Write(batch, why) != Health::kDone) break;
  }
  EXPECT_LT(written, 12) << "a megabyte at the most";
}

TEST(Storage, OnRealFilesAnotherOwnerOrProcessIsTurnedAway) {
  char folder[] = "/tmp/lemoncroft-store-XXXXXX";
  ASSERT_NE(::mkdtemp(folder), nullptr);
  const std::string path = std::string(folder) + "/store";
  Contents contents;
  std::string why;
  {
    Database first({path, "f/n1"});
    ASSERT_EQ(first.Open(contents, why), Health::kDone) << why;
    EXPECT_EQ(first.Write(StoreChange(0), why), Health::kDone);
    Database second({path, "f/n1"});
    EXPECT_EQ(second.Open(contents, why), Health::kHeld) << why;
  }
  Database other({path, "f/n2"});
  EXPECT_EQ(other.Open(contents, why), Health::kForeign);
  EXPECT_EQ(why, path + ": its owner is 'f/n1', not 'f/n2'");
  other.Close();
  std::ofstream(path)
      << "this is no store, and never was one; but it is long enough to be looked at as a file of pages";
  EXPECT_EQ(Database({path, "f/n1"}).Open(contents, why), Health::kForeign) << why;
  EXPECT_EQ(Database({folder, "f/n1"}).Open(contents, why), Health::kFailed) << why;
  EXPECT_EQ(Database({"/nowhere/store", "f/n1"}).Open(contents, why), Health::kFailed);
  std::system(("rm -rf " + std::string(folder)).c_str());
}

}  // namespace
}  // namespace lemoncroft
