#include "hot_restart/ejection_store.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <system_error>

#include "runtime/descriptor.h"

namespace lemoncroft::hot_restart {

namespace fs = std::filesystem;
using namespace std::chrono_literals;

namespace {

constexpr const char* kEjectedPrefix = "out-";
constexpr const char* kReturnedPrefix = "back-";
constexpr mode_t kFileMode = 0600;
// A folder that changed within this time may change again without a new modification time.
constexpr auto kFileTimeResolution = 100ms;

std::string ToHex(const std::string& text) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : text) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

std::optional<std::string> FromHex(const std::string& hex) {
  if (hex.empty() || hex.size() % 2 != 0 || hex.size() > 2 * EjectionStore::kMaxIdBytes) return std::nullopt;
  std::string text;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    unsigned value = 0;
    const auto [end, error] = std::from_chars(hex.data() + i, hex.data() + i + 2, value, 16);
    if (error != std::errc() || end != hex.data() + i + 2) return std::nullopt;
    text += static_cast<char>(value);
  }
  return text;
}

// Returns the time of the last change of a regular file, or nullopt for anything else.
std::optional<UnixTime> ModificationTimeOf(const fs::path& path) {
  struct stat status {};
  if (::lstat(path.c_str(), &status) != 0 || !S_ISREG(status.st_mode)) return std::nullopt;
  const auto since_epoch =
      std::chrono::seconds(status.st_mtim.tv_sec) + std::chrono::nanoseconds(status.st_mtim.tv_nsec);
  return UnixTime(std::chrono::duration_cast<UnixTime::duration>(since_epoch));
}

runtime::Descriptor CreateFile(const fs::path& path) {
  return runtime::Descriptor(::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, kFileMode));
}

}  // namespace

std::optional<fs::path> EjectionStore::PathOf(const char* prefix, const std::string& engine_id) const {
  if (engine_id.empty() || engine_id.size() > kMaxIdBytes) return std::nullopt;
  return folder_ / (prefix + ToHex(engine_id));
}

bool EjectionStore::SaveEjection(const std::string& engine_id) const {
  const auto file = PathOf(kEjectedPrefix, engine_id);
  std::error_code error;
  fs::create_directories(folder_, error);
  return file && CreateFile(*file).get() >= 0;
}

bool EjectionStore::SaveReturn(const std::string& engine_id) const {
  const auto ejected_file = PathOf(kEjectedPrefix, engine_id);
  const auto returned_file = PathOf(kReturnedPrefix, engine_id);
  if (!ejected_file) return false;
  // The return is written first: a reader between the two steps still finds the engine ejected.
  const runtime::Descriptor file = CreateFile(*returned_file);
  const bool saved = file && ::futimens(file.get(), nullptr) == 0;
  std::error_code error;
  fs::remove(*ejected_file, error);
  return saved && !error;
}

std::optional<ManualEjections> EjectionStore::Read() const {
  ManualEjections ejections;
  std::error_code error;
  std::size_t files = 0;
  for (fs::directory_iterator it(folder_, error), end; !error && it != end; it.increment(error)) {
    if (++files > kMaxFiles) return std::nullopt;
    const std::string name = it->path().filename();
    const bool ejected = name.starts_with(kEjectedPrefix);
    const bool returned = name.starts_with(kReturnedPrefix);
    if (!ejected && !returned) continue;
    const auto engine_id = FromHex(name.substr(name.find('-') + 1));
    if (!engine_id) continue;
    const auto changed_at = ModificationTimeOf(it->path());
    if (!changed_at) continue;
    if (ejected) ejections.ejected.insert(*engine_id);
    if (returned) ejections.returned_at[*engine_id] = *changed_at;
  }
  if (error) return std::nullopt;
  return ejections;
}

bool EjectionStore::MayHaveChanged() {
  std::error_code error;
  const auto changed_at = fs::last_write_time(folder_, error);
  if (error) return false;
  const bool may_have_changed =
      changed_at != last_seen_change_ || fs::file_time_type::clock::now() - changed_at < kFileTimeResolution;
  last_seen_change_ = changed_at;
  return may_have_changed;
}

void EjectionStore::RemoveReturnsBefore(UnixTime before) const {
  std::error_code error;
  const auto ejections = Read();
  if (!ejections) return;
  for (const auto& [engine_id, returned_at] : ejections->returned_at) {
    if (returned_at < before) fs::remove(*PathOf(kReturnedPrefix, engine_id), error);
  }
}

}  // namespace lemoncroft::hot_restart
