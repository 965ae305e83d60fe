// A stand-in for a disk, as SQLite reaches one: it keeps what was synced, and at a crash drops, reorders and
// tears what was not; it can be full, or fail from a given operation on.
//
// Owned by one test; registers itself under a name of its own while it lives. Deterministic for a seed. Not
// modelled: directories, several processes.
#ifndef LEMONCROFT_STANDIN_DISK_H_
#define LEMONCROFT_STANDIN_DISK_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lemoncroft::simulation {

class Disk {
 public:
  Disk();
  ~Disk();
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;

  const char* name() const { return name_.c_str(); }  // for Database::Terms::system
  std::uint64_t operations() const { return operations_; }
  // From the operation of that number on nothing happens any more: the machine has gone.
  void FailFrom(std::uint64_t operation) { fail_from_ = operation; }
  void set_room(std::uint64_t bytes) { room_ = bytes; }
  // Of real time, for each sync.
  void set_sync_takes(std::chrono::milliseconds span) { sync_takes_ = span; }
  std::chrono::milliseconds sync_takes() const { return sync_takes_; }
  // What the machine finds when it is back: of what wasn't synced any part, in any order, the last write
  // torn.
  void Crash(std::uint64_t seed);
  // One bit of a file is another one.
  void Flip(const std::string& file, std::size_t bit);
  std::size_t SizeOf(const std::string& file) const;

  struct File {
    std::string now, synced;
    struct Change {
      std::size_t at = 0;
      std::string bytes;
      bool truncate = false;
    };
    std::vector<Change> unsynced;
  };
  // For the functions that SQLite calls.
  bool Act();  // false: the machine has gone
  bool Fits(std::uint64_t more) const;
  std::map<std::string, std::shared_ptr<File>>& files() { return files_; }

 private:
  std::string name_;
  void* system_ = nullptr;
  std::map<std::string, std::shared_ptr<File>> files_;
  std::chrono::milliseconds sync_takes_{};
  std::uint64_t operations_ = 0, fail_from_ = UINT64_MAX, room_ = UINT64_MAX;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_STANDIN_DISK_H_
