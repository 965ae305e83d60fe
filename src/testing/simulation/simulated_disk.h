// A simulated disk as an SQLite VFS: it keeps what was synced; a crash drops, reorders and tears what was
// not. It can be full, slow, or fail from a given operation on.
//
// Contract. Deterministic for a seed. Registers a VFS under a unique name while it lives; databases on it
// must be closed before it is destroyed. Not modelled: directories, several processes. Owner: one test or
// benchmark. Units: bytes; operations (writes, truncations, syncs, creations and removals of files).
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
  // From this operation on (counted from 1) all fail without an effect, as if the machine had lost power.
  void FailFromOperation(std::uint64_t operation) { fail_from_ = operation; }
  // Writes that do not fit fail with SQLITE_FULL.
  void set_capacity(std::uint64_t bytes) { capacity_ = bytes; }
  // Real time that each sync blocks.
  void set_sync_duration(std::chrono::milliseconds duration) { sync_duration_ = duration; }
  std::chrono::milliseconds sync_duration() const { return sync_duration_; }
  // Leaves the files as after a restart: of the writes that were not synced a random subset, in random order,
  // the last one torn. Clears the failure and the capacity.
  void Crash(std::uint64_t seed);
  void FlipBit(const std::string& file, std::size_t bit);
  std::size_t SizeOf(const std::string& file) const;

  struct File {
    std::string current;  // as a reader sees it
    std::string synced;
    struct PendingWrite {  // or a truncation to `offset`
      std::size_t offset = 0;
      std::string bytes;
      bool truncate = false;
    };
    std::vector<PendingWrite> unsynced;
  };
  // ---- For the VFS functions ----
  // Counts an operation; false if it must fail.
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
