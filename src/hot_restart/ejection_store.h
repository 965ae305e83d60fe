// Stores, as files in $TMPDIR, which engines an operator has ejected. The files outlive a process and are
// shared by the processes that replace each other in a hot restart.
//
// Each engine has one file per state. The files are empty, and each is created or removed in one step, so
// that concurrent writers cannot lose each other's changes and no reader sees a partial one. File names
// contain the engine's id in hex; other files in the folder are ignored. The folder's name contains the
// version of this format, which is shared with other versions of the program. Calls block for the time of a
// few local file operations. A store is used by one thread; several processes may use the same folder. Times
// are Unix time. A change that cannot be written takes effect in this process only. If the folder cannot be
// read or does not exist yet, Read returns nullopt, and the state read before stays valid.
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

  // Store that the engine was ejected or returned to service now. The modification time of a return's file is
  // the time of the return. Return false if the change could not be stored.
  [[nodiscard]] bool SaveEjection(const std::string& engine_id) const;
  [[nodiscard]] bool SaveReturn(const std::string& engine_id) const;

  // Reads the complete store. Returns nullopt if the folder does not exist yet, has more than kMaxFiles files
  // or cannot be read completely.
  [[nodiscard]] std::optional<ManualEjections> Read() const;

  // Returns true if the store may have changed since the last call. Costs one stat call.
  [[nodiscard]] bool MayHaveChanged();

  // Removes the returns before `before`, whose engines have finished their slow start.
  void RemoveReturnsBefore(UnixTime before) const;

 private:
  // Returns the path of an engine's file, or nullopt if the id is empty or too long.
  std::optional<std::filesystem::path> PathOf(const char* prefix, const std::string& engine_id) const;

  std::filesystem::path folder_;
  std::filesystem::file_time_type last_seen_change_{};
};

}  // namespace lemoncroft::hot_restart

#endif  // LEMONCROFT_HOT_RESTART_EJECTION_STORE_H_
