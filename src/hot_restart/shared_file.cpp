#include "hot_restart/shared_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>

#include "hot_restart/slot_lock.h"
#include "runtime/replace_file.h"

namespace lemoncroft::hot_restart {
namespace {

using namespace std::chrono_literals;

constexpr mode_t kFileMode = 0600;
constexpr off_t kLockOffset = 0;
// A file that changed within this time may change again without a new modification time.
constexpr std::chrono::nanoseconds kFileTimeResolution = 100ms;

// Holds the lock for the lifetime of this object, if it was free.
class ScopedLock {
 public:
  explicit ScopedLock(int fd) : fd_(fd), held_(TryLockSlot(fd, kLockOffset)) {}
  ScopedLock(const ScopedLock&) = delete;
  ScopedLock& operator=(const ScopedLock&) = delete;
  ~ScopedLock() {
    if (held_) UnlockSlot(fd_, kLockOffset);
  }
  bool held() const { return held_; }

 private:
  int fd_;
  bool held_;
};

}  // namespace

std::unique_ptr<SharedFile> SharedFile::Open(const std::filesystem::path& folder, const std::string& name) {
  std::string path = folder / name;
  runtime::Descriptor lock(::open((path + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (!lock) return nullptr;
  return std::unique_ptr<SharedFile>(new SharedFile(std::move(path), std::move(lock)));
}

std::optional<std::string> SharedFile::Read() const {
  const runtime::Descriptor file(::open(path_.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file) return errno == ENOENT ? std::optional(std::string()) : std::nullopt;
  struct stat status {};
  if (::fstat(file.get(), &status) != 0 || !S_ISREG(status.st_mode)) return std::nullopt;
  if (static_cast<std::size_t>(status.st_size) > kMaxBytes) return std::nullopt;
  std::string text(static_cast<std::size_t>(status.st_size), '\0');
  const ssize_t bytes = ::read(file.get(), text.data(), text.size());
  if (bytes != status.st_size) return std::nullopt;
  return text;
}

bool SharedFile::Update(const std::function<std::string(const std::string&)>& change) {
  const ScopedLock lock(lock_.get());
  if (!lock.held()) return false;
  const std::optional<std::string> text = Read();
  if (!text) return false;
  const std::string changed = change(*text);
  return changed.size() <= kMaxBytes && runtime::ReplaceFile(path_, changed, kFileMode);
}

bool SharedFile::MayHaveChanged() {
  struct stat status {};
  if (::stat(path_.c_str(), &status) != 0) return false;
  const auto changed_at =
      std::chrono::seconds(status.st_mtim.tv_sec) + std::chrono::nanoseconds(status.st_mtim.tv_nsec);
  const FileVersion version{status.st_ino, status.st_size, changed_at.count()};
  const bool is_recent =
      std::chrono::system_clock::now().time_since_epoch() - changed_at < kFileTimeResolution;
  const bool may_have_changed = last_seen_ != version || is_recent;
  last_seen_ = version;
  return may_have_changed;
}

}  // namespace lemoncroft::hot_restart
