// A stand-in for a disk, as SQLite reaches one: it keeps what was synced, and at a crash drops, reorders and
// tears what was not; it can be full, or fail from a given operation on.
//
// Owned by one test; registers itself under a name of its own while it lives. Deterministic for a seed. Not
// modelled: directories, several processes.
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

  const char* name() const { return name_.c_str(); }  // for Database::Terms::system
  std::uint64_t operations() const { return operations_; }
  // From the operation of that number on nothing happens any more: the machine has gone.
  void FailFromOperation(std::uint64_t operation) { fail_from_ = operation; }
  void set_capacity(std::uint64_t bytes) { capacity_ = bytes; }
  // Of real time, for each sync.
  void set_sync_duration(std::chrono::milliseconds span) { sync_duration_ = span; }
  std::chrono::milliseconds sync_duration() const { return sync_duration_; }
  // What the machine finds when it is back: of what wasn't synced any part, in any order, the last write
  // torn.
  void Crash(std::uint64_t seed);
  // One bit of a file is another one.
  void FlipBit(const std::string& file, std::size_t bit);
  std::size_t SizeOf(const std::string& file) const;

  struct File {
    std::string current, synced;
    struct PendingWrite {
      std::size_t offset = 0;
      std::string bytes;
      bool truncate = false;
    };
    std::vector<PendingWrite> unsynced;
  };
  // For the functions that SQLite calls.
  bool BeginOperation();  // false: the machine has gone
  bool Fits(std::uint64_t more) const;
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
