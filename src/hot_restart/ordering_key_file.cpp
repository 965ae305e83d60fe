#include "hot_restart/ordering_key_file.h"

#include <fcntl.h>
#include <sys/mman.h>

#include <atomic>
#include <utility>

#include "hot_restart/slot_lock.h"

namespace lemoncroft::hot_restart {
namespace {

constexpr const char* kFileName = "lemoncroft-order-1";
constexpr mode_t kFileMode = 0600;
constexpr std::size_t kTicketCounter = 0, kFirstOwnerCounter = 8;  // in the header; the others are unused
constexpr std::size_t kHeaderWords = kFirstOwnerCounter + OrderingKeyFile::kSlots;
constexpr std::size_t kFileWords =
    kHeaderWords + static_cast<std::size_t>(OrderingKeyFile::kSlots) * OrderingKeyFile::kBuckets;
constexpr std::size_t kFileBytes = kFileWords * sizeof(std::uint64_t);
constexpr int kStateBits = 2;  // of a word; the others are the ticket
constexpr std::uint64_t kStateMask = (1U << kStateBits) - 1;
constexpr std::uint64_t kHashMultiplier = 0x9e3779b97f4a7c15;  // 2^64 divided by the golden ratio
constexpr int kHashShift = 54;                                 // leaves the bits of a bucket's number
static_assert(OrderingKeyFile::kBuckets == std::size_t{1} << (64 - kHashShift));

std::uint64_t Encode(BucketWord word) {
  return word.ticket << kStateBits | static_cast<std::uint64_t>(word.state);
}

BucketWord Decode(std::uint64_t word) {
  return {word >> kStateBits, static_cast<OrderingState>(word & kStateMask)};
}

}  // namespace

std::unique_ptr<OrderingKeyFile> OrderingKeyFile::Open(const std::filesystem::path& tmpdir) {
  runtime::Descriptor file(::open((tmpdir / kFileName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  // Without allocated blocks, a full file system would end the process at a later write to the mapping.
  if (!file || ::posix_fallocate(file.get(), 0, kFileBytes) != 0) return nullptr;
  void* const mapping = ::mmap(nullptr, kFileBytes, PROT_READ | PROT_WRITE, MAP_SHARED, file.get(), 0);
  if (mapping == MAP_FAILED) return nullptr;
  std::unique_ptr<OrderingKeyFile> opened(new OrderingKeyFile(std::move(file), mapping));
  // A lock covers the byte at the slot's number.
  for (int slot = 0; slot < kSlots && opened->own_slot_ < 0; ++slot)
    if (TryLockSlot(opened->file_.get(), slot)) opened->own_slot_ = slot;
  if (opened->own_slot_ < 0) return nullptr;
  const auto own_slot = static_cast<std::size_t>(opened->own_slot_);
  std::atomic_ref<std::uint64_t>(opened->HeaderWord(kFirstOwnerCounter + own_slot)).fetch_add(1);
  return opened;
}

OrderingKeyFile::~OrderingKeyFile() { ::munmap(mapping_, kFileBytes); }

std::size_t OrderingKeyFile::BucketOf(std::uint64_t ordering_key) {
  return static_cast<std::size_t>(ordering_key * kHashMultiplier >> kHashShift);
}

std::uint64_t& OrderingKeyFile::HeaderWord(std::size_t index) const {
  return static_cast<std::uint64_t*>(mapping_)[index];
}

std::uint64_t& OrderingKeyFile::WordAt(int slot, std::size_t bucket) const {
  return static_cast<std::uint64_t*>(
      mapping_)[kHeaderWords + static_cast<std::size_t>(slot) * kBuckets + bucket];
}

std::uint64_t OrderingKeyFile::DrawTicket() {
  return std::atomic_ref<std::uint64_t>(HeaderWord(kTicketCounter)).fetch_add(1) + 1;
}

BucketWord OrderingKeyFile::Load(int slot, std::size_t bucket) const {
  return Decode(std::atomic_ref<std::uint64_t>(WordAt(slot, bucket)).load());
}

void OrderingKeyFile::Store(std::size_t bucket, BucketWord word) {
  std::atomic_ref<std::uint64_t>(WordAt(own_slot_, bucket)).store(Encode(word));
}

std::uint64_t OrderingKeyFile::CountOwners(int slot) const {
  return std::atomic_ref<std::uint64_t>(HeaderWord(kFirstOwnerCounter + static_cast<std::size_t>(slot)))
      .load();
}

bool OrderingKeyFile::IsOwned(int slot) const {
  return slot == own_slot_ || StateOfSlotLock(file_.get(), slot) != SlotLockState::kFree;
}

void OrderingKeyFile::ClearUnowned(int slot) {
  if (slot == own_slot_ || !TryLockSlot(file_.get(), slot)) return;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket)
    std::atomic_ref<std::uint64_t>(WordAt(slot, bucket)).store(0);
  UnlockSlot(file_.get(), slot);
}

}  // namespace lemoncroft::hot_restart
