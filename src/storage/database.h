// A durable store of small state: named records and a log, changed by atomic batches, each record under a
// checksum.
//
// Contract. Blocking calls, for a thread of their own. A batch whose Write returned kDone is there after any
// crash, whole; one that was cut off by a crash is there whole or not at all. What is read is checked: a
// record that isn't what was written makes the whole store kDamaged, and nothing of it is handed out. Nothing
// here ends the process. Owner: one thread, and one process at a time: a second one is told kHeld. Units:
// bytes; log numbers from 1. Errors: as Health, with a plain line. Source: docs/storage.md; SQLite's file
// format and its write-ahead log.
#ifndef LEMONCROFT_STORAGE_DATABASE_H_
#define LEMONCROFT_STORAGE_DATABASE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

struct sqlite3;

namespace lemoncroft::storage {

enum class Health : std::uint8_t {
  kDone,
  kHeld,     // another process has it
  kForeign,  // of another owner, of a later format, or no store at all
  kDamaged,  // not what was written
  kFailed,   // the disk is full, read-only, or fails
};
const char* NameOf(Health health);

inline constexpr std::size_t kNameMost = 128, kValueMost = std::size_t{1} << 20;
inline constexpr std::uint64_t kFormat = 1;

struct Batch {
  std::vector<std::pair<std::string, std::string>> records;  // an empty value: none of that name any more
  std::optional<std::uint64_t> cut_behind;                   // log entries past this number go first
  std::vector<std::pair<std::uint64_t, std::string>> log;    // then these are there
  std::optional<std::uint64_t> cut_before;                   // entries up to this number go
};

struct Contents {
  std::map<std::string, std::string> records;
  std::map<std::uint64_t, std::string> log;
};

class Database {
 public:
  struct Terms {
    std::string path;
    std::string owner;  // whose it is: the fleet and the proxy's name
    std::uint64_t bytes_most = std::uint64_t{64} << 20;
    const char* system = nullptr;  // SQLite's name for how files are reached; null: the disk
  };

  explicit Database(Terms terms) : terms_(std::move(terms)) {}
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  // Opens or makes it, and reads all of it. `why`: a plain line where it isn't kDone.
  Health Open(Contents& contents, std::string& why);
  Health Write(const Batch& batch, std::string& why);
  // Gives back the room of what is gone.
  Health Compact(std::string& why);
  void Close();

 private:
  Health Fail(int code, std::string& why) const;
  Health Run(const char* statement, std::string& why);
  Health Read(Contents& contents, std::string& why);
  Health Identify(std::string& why);

  Terms terms_;
  sqlite3* db_ = nullptr;
};

}  // namespace lemoncroft::storage

#endif  // LEMONCROFT_STORAGE_DATABASE_H_
