// A small text file in $TMPDIR that the processes of one proxy share and change.
//
// Each change reads the file, computes the new text and replaces the file, under a lock that the kernel
// releases however its owner ends; so no process loses the change of another one, and no reader sees a part
// of a text. Calls block for the time of a few local file operations, never for another process: a change
// that finds the lock taken is not made, and the caller repeats it later.
//
// Used by one thread.
#ifndef LEMONCROFT_HOT_RESTART_SHARED_FILE_H_
#define LEMONCROFT_HOT_RESTART_SHARED_FILE_H_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "runtime/descriptor.h"

namespace lemoncroft::hot_restart {

class SharedFile {
 public:
  static constexpr std::size_t kMaxBytes = std::size_t{4} << 20;  // a longer file is not read

  // Opens the file `name` in the folder; it need not exist yet. Returns null if the folder can't be used.
  static std::unique_ptr<SharedFile> Open(const std::filesystem::path& folder, const std::string& name);

  // Returns the text; empty if the file does not exist. Returns nullopt if it can't be read.
  [[nodiscard]] std::optional<std::string> Read() const;
  // Replaces the text by `change(text)`. Returns false if the file was not changed: another process holds
  // the lock, and `change` was not called, or the file can't be read or written.
  [[nodiscard]] bool Update(const std::function<std::string(const std::string& text)>& change);
  // Returns true if the text may have changed since the last call. Costs one system call.
  [[nodiscard]] bool MayHaveChanged();

 private:
  using FileVersion = std::tuple<ino_t, off_t, std::int64_t>;  // inode, size, modification time in ns

  SharedFile(std::string path, runtime::Descriptor lock) : path_(std::move(path)), lock_(std::move(lock)) {}

  std::string path_;
  runtime::Descriptor lock_;  // of a file beside it, which is never replaced
  std::optional<FileVersion> last_seen_;
};

}  // namespace lemoncroft::hot_restart

#endif  // LEMONCROFT_HOT_RESTART_SHARED_FILE_H_
