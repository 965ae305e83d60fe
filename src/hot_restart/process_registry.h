// Registry of the live processes of one proxy and their connections, shared through a file in $TMPDIR.
//
// The file has a fixed number of slots, each with a ConnectionUsage. A process locks one slot and holds the
// lock until it ends, so that the kernel releases the slot however the process ends. The file's name and
// format are shared with other versions of the program and must not change. Calls block only for a short read
// or write of a local file. Each process has one registry and uses it from one thread. Without the file or a
// free slot, this process is invisible to the others (registered() is false); without a free slot it still
// sees them.
#ifndef LEMONCROFT_HOT_RESTART_PROCESS_REGISTRY_H_
#define LEMONCROFT_HOT_RESTART_PROCESS_REGISTRY_H_

#include <filesystem>

#include "hot_restart/process_limits.h"
#include "runtime/descriptor.h"

namespace lemoncroft::hot_restart {

class ProcessRegistry {
 public:
  static constexpr int kMaxProcesses = 8;

  // Opens or creates the file in `tmpdir` and locks a free slot.
  explicit ProcessRegistry(const std::filesystem::path& tmpdir);

  // Returns true if the other processes can see this one.
  bool registered() const { return slot_ >= 0; }

  // Writes the usage of this process to its slot.
  void Publish(const ConnectionUsage& usage) const;

  // Reads the slots of the other live processes.
  [[nodiscard]] OtherProcesses ReadOthers() const;

 private:
  runtime::Descriptor file_;
  int slot_ = -1;
};

}  // namespace lemoncroft::hot_restart

#endif  // LEMONCROFT_HOT_RESTART_PROCESS_REGISTRY_H_
