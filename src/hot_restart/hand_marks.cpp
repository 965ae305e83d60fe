#include "hot_restart/hand_marks.h"

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

constexpr const char* kOut = "out-";
constexpr const char* kBack = "back-";
// A folder that changed less than this ago may have changed again at the same time by its clock.
constexpr auto kClockStep = 100ms;

std::string Hex(const std::string& id) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (const unsigned char c : id) {
    out += kDigits[c >> 4];
    out += kDigits[c & 15];
  }
  return out;
}

std::optional<std::string> FromHex(const std::string& hex) {
  if (hex.empty() || hex.size() % 2 != 0 || hex.size() > 2 * HandMarks::kIdMost) return std::nullopt;
  std::string id;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    unsigned value = 0;
    const auto [end, error] = std::from_chars(hex.data() + i, hex.data() + i + 2, value, 16);
    if (error != std::errc() || end != hex.data() + i + 2) return std::nullopt;
    id += static_cast<char>(value);
  }
  return id;
}

}  // namespace

std::optional<fs::path> HandMarks::File(const char* kind, const std::string& id) const {
  if (id.empty() || id.size() > kIdMost) return std::nullopt;
  return folder_ / (kind + Hex(id));
}

bool HandMarks::Out(const std::string& id) const {
  const auto file = File(kOut, id);
  std::error_code error;
  fs::create_directories(folder_, error);
  return file && runtime::Descriptor(::open(file->c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600)).get() >= 0;
}

// The return is written first: between the two the engine is out.
bool HandMarks::Back(const std::string& id) const {
  const auto out = File(kOut, id), back = File(kBack, id);
  if (!out) return false;
  const runtime::Descriptor file(::open(back->c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600));
  const bool kept = file && ::futimens(file.get(), nullptr) == 0;
  std::error_code error;
  fs::remove(*out, error);
  return kept && !error;
}

std::optional<Marks> HandMarks::Read() const {
  Marks marks;
  std::error_code error;
  std::size_t read = 0;
  for (fs::directory_iterator it(folder_, error), end; !error && it != end; it.increment(error)) {
    if (++read > kRead) return std::nullopt;
    const std::string name = it->path().filename();
    const bool out = name.starts_with(kOut), back = name.starts_with(kBack);
    if (!out && !back) continue;
    const auto id = FromHex(name.substr(name.find('-') + 1));
    struct stat about {};
    if (!id || ::lstat(it->path().c_str(), &about) != 0 || !S_ISREG(about.st_mode)) continue;
    const auto at =
        std::chrono::seconds(about.st_mtim.tv_sec) + std::chrono::nanoseconds(about.st_mtim.tv_nsec);
    if (out) marks.out.insert(*id);
    if (back) marks.returned[*id] = UnixTime(std::chrono::duration_cast<UnixTime::duration>(at));
  }
  if (error) return std::nullopt;
  return marks;
}

bool HandMarks::Changed() {
  std::error_code error;
  const auto changed = fs::last_write_time(folder_, error);
  if (error) return false;
  const bool news = changed != seen_ || fs::file_time_type::clock::now() - changed < kClockStep;
  seen_ = changed;
  return news;
}

void HandMarks::Sweep(UnixTime before) const {
  std::error_code error;
  const auto marks = Read();
  if (!marks) return;
  for (const auto& [id, at] : marks->returned) {
    if (at < before) fs::remove(*File(kBack, id), error);
  }
}

}  // namespace lemoncroft::hot_restart
