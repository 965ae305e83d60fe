// The engines that an operator has ejected, as files in $TMPDIR that outlive a process: the processes that
// replace each other in a hot restart share them.
//
// Contract. One file per engine and state, created and removed as a whole, so that concurrent writers can't
// lose each other's calls and nothing can be torn. Names hold the engine's id in hex; other files in the
// folder are ignored. The folder's name carries the version of this form, which is shared with other versions
// of the program. Calls block for the time of a few local file operations. Owner: one thread per process.
// Units: Unix time. Errors: a write that fails holds for this process only; a folder that can't be read gives
// nothing, and what was known before stays valid.
#ifndef LEMONCROFT_HOT_RESTART_EJECTION_STORE_H_
#define LEMONCROFT_HOT_RESTART_EJECTION_STORE_H_

#include <chrono>
#include <filesystem>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace lemoncroft::hot_restart {

using UnixTime = std::chrono::system_clock::time_point;

// The content of the store, by engine id.
struct ManualEjections {
  std::set<std::string> ejected;
  std::map<std::string, UnixTime> returned_at;
};

class EjectionStore {
 public:
  static constexpr std::size_t kMaxIdBytes = 64;       // an engine with a longer id is not stored
  static constexpr std::size_t kMaxFiles = 16 * 1024;  // a folder with more is not read

  explicit EjectionStore(const std::filesystem::path& tmpdir) : folder_(tmpdir / "lemoncroft-hand-1") {}

  // Record that the engine was ejected or returned to service, now: the file's modification time is the time
  // of the return. False if that could not be stored.
  [[nodiscard]] bool SaveEjection(const std::string& engine_id) const;
  [[nodiscard]] bool SaveReturn(const std::string& engine_id) const;

  // Reads the whole store; nullopt if the folder can't be read to its end.
  [[nodiscard]] std::optional<ManualEjections> Read() const;

  // True if the store may have changed since the last call. Costs one stat call.
  [[nodiscard]] bool MayHaveChanged();

  // Removes returns older than `before`: those engines have finished their slow start.
  void RemoveReturnsBefore(UnixTime before) const;

 private:
  // The file of an engine; nullopt if the id is empty or too long.
  std::optional<std::filesystem::path> PathOf(const char* prefix, const std::string& engine_id) const;

  std::filesystem::path folder_;
  std::filesystem::file_time_type last_seen_change_{};
};

}  // namespace lemoncroft::hot_restart

#endif  // LEMONCROFT_HOT_RESTART_EJECTION_STORE_H_
