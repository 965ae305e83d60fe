#include "testing/simulation/store_plays.h"

#include <algorithm>

namespace lemoncroft::simulation {

using namespace storage;

Database::Terms StoreOn(const Disk& disk, std::uint64_t most) { return {"store", "f/n1", most, disk.name()}; }

Batch StoreChange(int i) {
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

void ApplyChange(const Batch& batch, Contents& contents) {
  for (const auto& [name, value] : batch.records)
    value.empty() ? void(contents.records.erase(name)) : void(contents.records[name] = value);
  if (batch.cut_behind)
    std::erase_if(contents.log, [&](const auto& e) { return e.first > *batch.cut_behind; });
  for (const auto& [number, value] : batch.log) contents.log[number] = value;
  if (batch.cut_before)
    std::erase_if(contents.log, [&](const auto& e) { return e.first <= *batch.cut_before; });
}

bool SameContents(const Contents& read, const Contents& wanted) {
  Contents plain = read;
  std::erase_if(plain.records, [](const auto& r) { return r.first.starts_with("@"); });
  return plain.records == wanted.records && plain.log == wanted.log;
}

int PlayStore(const Disk& disk) {
  Database database(StoreOn(disk));
  Contents contents;
  std::string why;
  if (database.Open(contents, why) != Health::kDone) return 0;
  for (int i = 0; i < kStoreChanges; ++i)
    if (database.Write(StoreChange(i), why) != Health::kDone) return i;
  return kStoreChanges;
}

CrashPoints CrashAtEachOperation(int ways) {
  std::uint64_t operations = 0;
  {
    Disk disk;
    PlayStore(disk);
    operations = disk.operations();
  }
  std::vector<Contents> states(1);
  for (int i = 0; i < kStoreChanges; ++i) {
    states.push_back(states.back());
    ApplyChange(StoreChange(i), states.back());
  }
  CrashPoints out;
  for (std::uint64_t at = 1; at <= operations; ++at) {
    for (int way = 1; way <= ways; ++way) {
      Disk disk;
      disk.FailFrom(at);
      const int done = PlayStore(disk);
      disk.Crash(static_cast<std::uint64_t>(way));
      ++out.points;
      Database again(StoreOn(disk));
      Contents read;
      std::string why;
      // Whole, and no older than what was reported; the one under way may be there or not.
      bool good = again.Open(read, why) == Health::kDone;
      good =
          good && (SameContents(read, states[static_cast<std::size_t>(done)]) ||
                   (done < kStoreChanges && SameContents(read, states[static_cast<std::size_t>(done) + 1])));
      good = good && again.Write(StoreChange(done), why) == Health::kDone;
      if (good) continue;
      if (out.bad++ == 0)
        out.first = "operation " + std::to_string(at) + ", way " + std::to_string(way) + ", reported " +
                    std::to_string(done) + ": " + why;
    }
  }
  return out;
}

}  // namespace lemoncroft::simulation
