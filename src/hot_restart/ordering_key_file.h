// The ordering keys in use by each process of one proxy, in a file in $TMPDIR that the processes map.
//
// The file has a counter of tickets and, for each process, a slot with a fixed number of buckets and the
// number of its owners so far. Ordering keys are mapped to buckets by their hash. A bucket's word describes
// the requests of one process whose keys belong to the bucket. A process locks one slot and holds the lock
// until it ends, so that the kernel releases the slot however the process ends; the words remain. Only the
// owner of a slot, or a process that holds its lock, writes to it. Words and counter are atomic; no call
// waits for another process.
//
// The file's name and format are shared with other versions of the program and must not change. Each process
// has one OrderingKeyFile and uses it from one thread.
#ifndef LEMONCROFT_HOT_RESTART_ORDERING_KEY_FILE_H_
#define LEMONCROFT_HOT_RESTART_ORDERING_KEY_FILE_H_

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <utility>

#include "runtime/descriptor.h"

namespace lemoncroft::hot_restart {

// The state of a bucket's requests, or of the one that is furthest if there are several. Values are stored.
enum class OrderingState : std::uint8_t {
  kNone = 0,     // there are no requests
  kWaiting = 1,  // no attempt has been sent
  kSent = 2,     // an attempt may be running
  kResting = 3,  // an attempt of unknown outcome has ended, and the key is paused
};

// The word of a bucket. `ticket` is that of its oldest request, which is older than requests with higher
// tickets; 0 while the process draws it.
struct BucketWord {
  std::uint64_t ticket = 0;
  OrderingState state = OrderingState::kNone;
};

class OrderingKeyFile {
 public:
  static constexpr int kSlots = 8;
  static constexpr std::size_t kBuckets = 1024;

  // Opens or creates the file in `tmpdir` and locks a free slot. Returns null if the file can't be used or no
  // slot is free.
  static std::unique_ptr<OrderingKeyFile> Open(const std::filesystem::path& tmpdir);
  ~OrderingKeyFile();
  OrderingKeyFile(const OrderingKeyFile&) = delete;
  OrderingKeyFile& operator=(const OrderingKeyFile&) = delete;

  static std::size_t BucketOf(std::uint64_t ordering_key);

  int own_slot() const { return own_slot_; }
  // Returns a ticket that is higher than all that were drawn before, by any process. The first is 1.
  std::uint64_t DrawTicket();
  BucketWord Load(int slot, std::size_t bucket) const;
  // Replaces a word of this process.
  void Store(std::size_t bucket, BucketWord word);
  // Returns how many processes have owned the slot so far.
  std::uint64_t CountOwners(int slot) const;
  // Returns true if a process owns the slot.
  bool IsOwned(int slot) const;
  // Removes the words of a slot that no process owns.
  void ClearUnowned(int slot);

 private:
  OrderingKeyFile(runtime::Descriptor file, void* mapping) : file_(std::move(file)), mapping_(mapping) {}
  std::uint64_t& HeaderWord(std::size_t index) const;
  std::uint64_t& WordAt(int slot, std::size_t bucket) const;

  runtime::Descriptor file_;
  void* mapping_;
  int own_slot_ = -1;
};

}  // namespace lemoncroft::hot_restart

#endif  // LEMONCROFT_HOT_RESTART_ORDERING_KEY_FILE_H_
