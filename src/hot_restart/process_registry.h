// The live processes of one proxy and the connections that they hold, shared through a file in $TMPDIR.
//
// Contract. The file has a fixed number of slots; a process locks one and keeps the lock until it ends, so
// that the kernel frees the slot however it ends. A slot holds a ConnectionUsage. The file's name and form
// are shared with other versions of the program and must not change. Calls don't block beyond a short read or
// write of a local file. Owner: one per process, one thread. Errors: without the file or a free slot this
// process is invisible to the others (registered() is false) and still sees them.
#ifndef LEMONCROFT_HOT_RESTART_PROCESS_REGISTRY_H_
#define LEMONCROFT_HOT_RESTART_PROCESS_REGISTRY_H_

#include <filesystem>

#include "hot_restart/process_limits.h"
#include "runtime/descriptor.h"

namespace lemoncroft::hot_restart {

class ProcessRegistry {
 public:
  static constexpr int kMaxProcesses = 8;

  // Opens or creates the file in `tmpdir` and takes a free slot.
  explicit ProcessRegistry(const std::filesystem::path& tmpdir);

  // True if the other processes can see this one.
  bool registered() const { return slot_ >= 0; }

  // Writes what this process uses to its slot.
  void Publish(const ConnectionUsage& usage) const;

  // Reads the slots of the other live processes.
  [[nodiscard]] PeerProcesses ReadPeers() const;

 private:
  runtime::Descriptor file_;
  int slot_ = -1;
};

}  // namespace lemoncroft::hot_restart

#endif  // LEMONCROFT_HOT_RESTART_PROCESS_REGISTRY_H_
