// A simulated disk as an SQLite VFS. It retains synced writes; a crash drops, reorders and tears unsynced
// writes. The disk can be full or slow, or fail from a given operation on.
//
// Deterministic for a seed. A SimulatedDisk registers a VFS under a unique name for its lifetime; databases
// on it must be closed before it is destroyed. Directories and access by several processes are not modelled.
// Sizes are in bytes. The counted operations are writes, truncations, syncs, and the creation and removal of
// files.
#ifndef LEMONCROFT_TESTING_SIMULATION_SIMULATED_DISK_H_
#define LEMONCROFT_TESTING_SIMULATION_SIMULATED_DISK_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lemoncroft::simulation {

class SimulatedDisk {
 public:
  SimulatedDisk();
  ~SimulatedDisk();
  SimulatedDisk(const SimulatedDisk&) = delete;
  SimulatedDisk& operator=(const SimulatedDisk&) = delete;

  const char* name() const { return name_.c_str(); }  // for Database::Options::vfs_name
  std::uint64_t operations() const { return operations_; }
  // All operations from this one on (counted from 1) fail without effect, as if the machine had lost power.
  void FailFromOperation(std::uint64_t operation) { fail_from_ = operation; }
  // Writes that would exceed the capacity fail with SQLITE_FULL.
  void set_capacity(std::uint64_t bytes) { capacity_ = bytes; }
  // Sets the real time for which each sync blocks.
  void set_sync_duration(std::chrono::milliseconds duration) { sync_duration_ = duration; }
  std::chrono::milliseconds sync_duration() const { return sync_duration_; }
  // Puts the files in the state that a restart after a crash would find: a random subset of the unsynced
  // writes is applied in random order, and the last of them is torn. Clears the failure and the capacity.
  void Crash(std::uint64_t seed);
  void FlipBit(const std::string& file, std::size_t bit);
  std::size_t SizeOf(const std::string& file) const;

  struct File {
    std::string current;  // the contents that a reader sees
    std::string synced;
    struct PendingWrite {  // if `truncate`, a truncation to `offset`
      std::size_t offset = 0;
      std::string bytes;
      bool truncate = false;
    };
    std::vector<PendingWrite> unsynced;
  };
  // ---- For the VFS functions ----
  // Counts an operation. Returns false if the operation must fail.
  bool BeginOperation();
  bool Fits(std::uint64_t more_bytes) const;
  std::map<std::string, std::shared_ptr<File>>& files() { return files_; }

 private:
  std::string name_;
  void* vfs_ = nullptr;
  std::map<std::string, std::shared_ptr<File>> files_;
  std::chrono::milliseconds sync_duration_{};
  std::uint64_t operations_ = 0, fail_from_ = UINT64_MAX, capacity_ = UINT64_MAX;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_SIMULATED_DISK_H_
