// Locks that tell which slot of a shared file a process owns. Such a lock covers one byte and belongs to the
// open file description, so that the kernel releases it however its process ends.
#ifndef LEMONCROFT_HOT_RESTART_SLOT_LOCK_H_
#define LEMONCROFT_HOT_RESTART_SLOT_LOCK_H_

#include <sys/types.h>

namespace lemoncroft::hot_restart {

enum class SlotLockState {
  kFree,     // no other open file description holds the lock
  kLocked,   // another one holds it
  kUnknown,  // the file system can't tell
};

// Locks the byte at `offset` of the file `fd`. Returns false if another open file description has locked it,
// or if the file can't be locked.
bool TryLockSlot(int fd, off_t offset);
void UnlockSlot(int fd, off_t offset);
SlotLockState StateOfSlotLock(int fd, off_t offset);

}  // namespace lemoncroft::hot_restart

#endif  // LEMONCROFT_HOT_RESTART_SLOT_LOCK_H_
