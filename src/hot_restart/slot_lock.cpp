#include "hot_restart/slot_lock.h"

#include <fcntl.h>
#include <unistd.h>

namespace lemoncroft::hot_restart {
namespace {

struct flock LockOfByte(off_t offset, short type) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = offset;
  lock.l_len = 1;
  return lock;
}

}  // namespace

bool TryLockSlot(int fd, off_t offset) {
  struct flock lock = LockOfByte(offset, F_WRLCK);
  return ::fcntl(fd, F_OFD_SETLK, &lock) == 0;
}

void UnlockSlot(int fd, off_t offset) {
  struct flock lock = LockOfByte(offset, F_UNLCK);
  ::fcntl(fd, F_OFD_SETLK, &lock);
}

SlotLockState StateOfSlotLock(int fd, off_t offset) {
  struct flock lock = LockOfByte(offset, F_WRLCK);
  if (::fcntl(fd, F_OFD_GETLK, &lock) != 0) return SlotLockState::kUnknown;
  return lock.l_type == F_UNLCK ? SlotLockState::kFree : SlotLockState::kLocked;
}

}  // namespace lemoncroft::hot_restart
