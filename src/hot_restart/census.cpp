#include "hot_restart/census.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace lemoncroft::hot_restart {
namespace {

constexpr std::uint32_t kMost = 1 << 20;  // connections: more is no count

// The slot's bytes; its lock is on the first of them.
off_t Place(int slot) { return static_cast<off_t>(slot) * static_cast<off_t>(sizeof(Holding)); }

struct flock LockOf(int slot) {
  struct flock lock {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  lock.l_start = Place(slot);
  lock.l_len = 1;
  return lock;
}

}  // namespace

Census::Census(const std::filesystem::path& tmpdir)
    : file_(::open((tmpdir / "lemoncroft-census-1").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
  for (int slot = 0; file_ && slot < kSlots && slot_ < 0; ++slot) {
    struct flock lock = LockOf(slot);
    if (::fcntl(file_.get(), F_OFD_SETLK, &lock) == 0) slot_ = slot;
  }
  Tell({});
}

void Census::Tell(const Holding& holding) const {
  // Where it can't be written the others go by the least that they may have.
  if (slot_ >= 0) static_cast<void>(!::pwrite(file_.get(), &holding, sizeof holding, Place(slot_)));
}

Others Census::Look() const {
  Others others;
  for (int slot = 0; file_ && slot < kSlots; ++slot) {
    if (slot == slot_) continue;
    struct flock lock = LockOf(slot);
    if (::fcntl(file_.get(), F_OFD_GETLK, &lock) != 0 || lock.l_type == F_UNLCK) continue;
    ++others.processes;
    Holding holding;
    if (::pread(file_.get(), &holding, sizeof holding, Place(slot)) != sizeof holding) continue;
    others.holding.clients += std::min(holding.clients, kMost);
    others.holding.engines += std::min(holding.engines, kMost);
    others.holding.serves += holding.serves == 1;
  }
  return others;
}

}  // namespace lemoncroft::hot_restart
