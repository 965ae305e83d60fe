// Which engines are out by hand, as files that outlive a process: in $TMPDIR, which the processes that take
// each other's place share. One file an id, made and removed whole: two that write can't lose each other's
// calls, and nothing can be torn. What else lies in the folder is passed over.
#ifndef LEMONCROFT_HANDOVER_HAND_MARKS_H_
#define LEMONCROFT_HANDOVER_HAND_MARKS_H_

#include <chrono>
#include <filesystem>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace lemoncroft::hot_restart {

using UnixTime = std::chrono::system_clock::time_point;

struct Marks {
  std::set<std::string> out;
  std::map<std::string, UnixTime> returned;  // when they came back
};

class HandMarks {
 public:
  static constexpr std::size_t kIdMost = 64;       // longer ids have no file: it is named by the id in hex
  static constexpr std::size_t kRead = 16 * 1024;  // files looked at, at the most

  // The folder's name carries the version of this form.
  explicit HandMarks(const std::filesystem::path& tmpdir) : folder_(tmpdir / "lemoncroft-hand-1") {}

  // False where it can't be kept: then it holds for this process only.
  bool Out(const std::string& id) const;
  bool Back(const std::string& id) const;

  // None where the folder can't be read to its end: then nothing is known.
  std::optional<Marks> Read() const;
  // Whether there may be news since the last call; cheap.
  bool Changed();
  // Forgets returns that are older: those engines are warm.
  void Sweep(UnixTime before) const;

 private:
  std::optional<std::filesystem::path> File(const char* kind, const std::string& id) const;

  std::filesystem::path folder_;
  std::filesystem::file_time_type seen_{};
};

}  // namespace lemoncroft::hot_restart

#endif  // LEMONCROFT_HANDOVER_HAND_MARKS_H_
