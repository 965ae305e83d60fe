// The changes that a voter makes to its store, played on a stand-in disk that goes away at any operation.
//
// Deterministic. Owner: a test or a measurement.
#ifndef LEMONCROFT_STANDIN_STORE_PLAYS_H_
#define LEMONCROFT_STANDIN_STORE_PLAYS_H_

#include "storage/database.h"
#include "testing/simulation/disk.h"

namespace lemoncroft::simulation {

inline constexpr int kStoreChanges = 30;

storage::Database::Terms StoreOn(const Disk& disk, std::uint64_t most = std::uint64_t{64} << 20);
// The changes of a voter, some of each kind.
storage::Batch StoreChange(int i);
// What the store must hold after a change, by a map.
void ApplyChange(const storage::Batch& batch, storage::Contents& contents);
// But for the store's own records.
bool SameContents(const storage::Contents& read, const storage::Contents& wanted);
// All changes in turn; how many were reported durable.
int PlayStore(const Disk& disk);

struct CrashPoints {
  int points = 0, bad = 0;
  std::string first;  // what was wrong at the first bad one
};
// A crash at every operation of the disk, what wasn't synced lost in several ways; then the store is opened.
CrashPoints CrashAtEachOperation(int ways);

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_STANDIN_STORE_PLAYS_H_
