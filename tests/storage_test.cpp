// The durable store: a crash at every single operation of the disk, damage, a full disk, a second process.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <random>

#include "standin/disk.h"
#include "storage/database.h"

namespace lemoncroft {
namespace {

using namespace storage;

Database::Terms On(const standin::Disk& disk, std::uint64_t most = std::uint64_t{64} << 20) {
  return {"store", "f/n1", most, disk.name()};
}

// The changes of a voter, some of each kind.
Batch Change(int i) {
  Batch batch;
  batch.records.emplace_back("promise", "term " + std::to_string(i));
  if (i % 5 == 4) batch.records.emplace_back("once", i % 10 == 4 ? "there" : "");
  const auto number =
      static_cast<std::uint64_t>(i + 1 - (i + 1) / 7);  // every seventh takes the last one's place
  if (i % 7 == 6) batch.cut_behind = number - 1;
  batch.log.emplace_back(
      number, std::string(static_cast<std::size_t>(50 + 97 * i % 900), static_cast<char>('a' + i % 26)));
  if (i % 12 == 11) batch.cut_before = number - 4;
  return batch;
}

// What the store must hold after the changes so far, by a map.
void Apply(const Batch& batch, Contents& contents) {
  for (const auto& [name, value] : batch.records)
    value.empty() ? void(contents.records.erase(name)) : void(contents.records[name] = value);
  if (batch.cut_behind)
    std::erase_if(contents.log, [&](const auto& e) { return e.first > *batch.cut_behind; });
  for (const auto& [number, value] : batch.log) contents.log[number] = value;
  if (batch.cut_before)
    std::erase_if(contents.log, [&](const auto& e) { return e.first <= *batch.cut_before; });
}

bool Same(const Contents& read, const Contents& wanted) {
  Contents plain = read;
  std::erase_if(plain.records, [](const auto& r) { return r.first.starts_with("@"); });
  return plain.records == wanted.records && plain.log == wanted.log;
}

constexpr int kChanges = 30;

// Returns how many changes were reported durable.
int Play(const standin::Disk& disk) {
  Database database(On(disk));
  Contents contents;
  std::string why;
  if (database.Open(contents, why) != Health::kDone) return 0;
  for (int i = 0; i < kChanges; ++i)
    if (database.Write(Change(i), why) != Health::kDone) return i;
  return kChanges;
}

TEST(Storage, HoldsWhatWasWritten) {
  standin::Disk disk;
  EXPECT_EQ(Play(disk), kChanges);
  Contents wanted, read;
  for (int i = 0; i < kChanges; ++i) Apply(Change(i), wanted);
  std::string why;
  Database again(On(disk));
  EXPECT_EQ(again.Open(read, why), Health::kDone) << why;
  EXPECT_TRUE(Same(read, wanted));
  EXPECT_EQ(again.Compact(why), Health::kDone) << why;
  EXPECT_EQ(Database(On(disk)).Open(read, why), Health::kDone) << why;
  EXPECT_TRUE(Same(read, wanted));
}

TEST(Storage, ACrashAtAnyOperationLosesNothingThatWasReported) {
  std::uint64_t operations = 0;
  {
    standin::Disk disk;
    Play(disk);
    operations = disk.operations();
  }
  std::vector<Contents> states(1);
  for (int i = 0; i < kChanges; ++i) {
    states.push_back(states.back());
    Apply(Change(i), states.back());
  }
  int points = 0;
  for (std::uint64_t at = 1; at <= operations; ++at) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      standin::Disk disk;
      disk.FailFrom(at);
      const int done = Play(disk);
      disk.Crash(seed);
      ++points;
      Database again(On(disk));
      Contents read;
      std::string why;
      ASSERT_EQ(again.Open(read, why), Health::kDone) << "operation " << at << ": " << why;
      // Whole, and no older than what was reported; the one under way may be there or not.
      const bool known = Same(read, states[static_cast<std::size_t>(done)]) ||
                         (done < kChanges && Same(read, states[static_cast<std::size_t>(done) + 1]));
      EXPECT_TRUE(known) << "operation " << at << ", seed " << seed << ", reported " << done;
      EXPECT_EQ(again.Write(Change(done), why), Health::kDone) << why;
    }
  }
  EXPECT_GE(points, 300);
}

TEST(Storage, AFlippedBitIsFoundOrChangesNothing) {
  Contents wanted;
  for (int i = 0; i < kChanges; ++i) Apply(Change(i), wanted);
  int damaged = 0;
  std::mt19937_64 random(1);
  for (int i = 0; i < 400; ++i) {
    standin::Disk disk;
    Play(disk);
    const std::size_t size = disk.SizeOf("store");
    disk.Flip("store", random() % (8 * size));
    Contents read;
    std::string why;
    const Health health = Database(On(disk)).Open(read, why);
    if (health == Health::kDone) {
      EXPECT_TRUE(Same(read, wanted)) << "a wrong record was handed out";
    } else {
      ++damaged;
      EXPECT_FALSE(why.empty());
    }
  }
  EXPECT_GT(damaged, 20);
}

TEST(Storage, AFullDiskIsToldAndLosesNothing) {
  standin::Disk disk;
  Database database(On(disk));
  Contents contents, wanted;
  std::string why;
  ASSERT_EQ(database.Open(contents, why), Health::kDone);
  for (int i = 0; i < 10; ++i) {
    ASSERT_EQ(database.Write(Change(i), why), Health::kDone);
    Apply(Change(i), wanted);
  }
  disk.set_room(0);
  EXPECT_EQ(database.Write(Change(10), why), Health::kFailed);
  EXPECT_FALSE(why.empty());
  disk.set_room(UINT64_MAX);
  EXPECT_EQ(database.Write(Change(10), why), Health::kDone) << why;
  Apply(Change(10), wanted);
  database.Close();
  EXPECT_EQ(Database(On(disk)).Open(contents, why), Health::kDone);
  EXPECT_TRUE(Same(contents, wanted));
}

TEST(Storage, BoundsAreKept) {
  standin::Disk disk;
  Database database(On(disk, 1 << 20));
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
    EXPECT_EQ(first.Write(Change(0), why), Health::kDone);
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
