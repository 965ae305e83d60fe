#include "hot_restart/process_registry.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace lemoncroft::hot_restart {
namespace {

constexpr const char* kFileName = "lemoncroft-census-1";
constexpr mode_t kFileMode = 0600;
// A larger number of connections in a slot is considered corrupt and is reduced to this limit.
constexpr std::uint32_t kMaxConnections = 1 << 20;

off_t SlotOffset(int slot) { return static_cast<off_t>(slot) * static_cast<off_t>(sizeof(ConnectionUsage)); }

// The lock covers the first byte of the slot.
struct flock SlotLock(int slot) {
  struct flock lock {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  lock.l_start = SlotOffset(slot);
  lock.l_len = 1;
  return lock;
}

}  // namespace

ProcessRegistry::ProcessRegistry(const std::filesystem::path& tmpdir)
    : file_(::open((tmpdir / kFileName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode)) {
  for (int slot = 0; file_ && slot < kMaxProcesses && slot_ < 0; ++slot) {
    struct flock lock = SlotLock(slot);
    if (::fcntl(file_.get(), F_OFD_SETLK, &lock) == 0) slot_ = slot;
  }
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
    struct flock lock = SlotLock(slot);
    if (::fcntl(file_.get(), F_OFD_GETLK, &lock) != 0 || lock.l_type == F_UNLCK) continue;
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
