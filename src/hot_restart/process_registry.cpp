#include "hot_restart/process_registry.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

#include "hot_restart/slot_lock.h"

namespace lemoncroft::hot_restart {
namespace {

constexpr const char* kFileName = "lemoncroft-census-1";
constexpr mode_t kFileMode = 0600;
// A larger number of connections in a slot is considered corrupt and is reduced to this limit.
constexpr std::uint32_t kMaxConnections = 1 << 20;

off_t SlotOffset(int slot) { return static_cast<off_t>(slot) * static_cast<off_t>(sizeof(ConnectionUsage)); }

}  // namespace

ProcessRegistry::ProcessRegistry(const std::filesystem::path& tmpdir)
    : file_(::open((tmpdir / kFileName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode)) {
  // A lock covers the first byte of its slot.
  for (int slot = 0; file_ && slot < kMaxProcesses && slot_ < 0; ++slot)
    if (TryLockSlot(file_.get(), SlotOffset(slot))) slot_ = slot;
  Publish({});
}

void ProcessRegistry::Publish(const ConnectionUsage& usage) const {
  if (slot_ < 0) return;
  // If the write fails, the other processes continue with the minimum that DivideLimits gives them.
  static_cast<void>(!::pwrite(file_.get(), &usage, sizeof usage, SlotOffset(slot_)));
}

OtherProcesses ProcessRegistry::ReadOthers() const {
  OtherProcesses others;
  for (int slot = 0; file_ && slot < kMaxProcesses; ++slot) {
    if (slot == slot_) continue;
    if (StateOfSlotLock(file_.get(), SlotOffset(slot)) != SlotLockState::kLocked) continue;
    ++others.processes;
    ConnectionUsage usage;
    if (::pread(file_.get(), &usage, sizeof usage, SlotOffset(slot)) != sizeof usage) continue;
    others.usage.clients += std::min(usage.clients, kMaxConnections);
    others.usage.engines += std::min(usage.engines, kMaxConnections);
    others.usage.serving += usage.serving == 1;
  }
  return others;
}

}  // namespace lemoncroft::hot_restart
