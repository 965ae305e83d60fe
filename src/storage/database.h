// A durable store for a small state: named records and an indexed log, changed by atomic batches.
//
// Calls block on the disk and therefore belong on a dedicated thread. A batch whose Write succeeded survives
// any crash; a batch that a crash interrupts is applied completely or not at all. Every record and log entry
// has a checksum of its name and value. If a checksum does not match or a log entry is missing between two
// others, Open fails with kDamaged and returns no contents. No call terminates the process.
//
// A Database is used by one thread, and a store is open in one process at a time; a second process gets
// kLocked. Sizes are in bytes, and log indices start at 1. Errors are reported as StoreError. The store uses
// SQLite's file format and write-ahead log; see docs/storage.md.
#ifndef LEMONCROFT_STORAGE_DATABASE_H_
#define LEMONCROFT_STORAGE_DATABASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

struct sqlite3;

namespace lemoncroft::storage {

enum class StoreErrorCode : std::uint8_t {
  kNone,
  kLocked,   // another process has the store open
  kForeign,  // the store has another owner or format version, or the file is not a store
  kDamaged,  // a checksum does not match, the log has a gap, or SQLite reports corruption
  // Any other error of SQLite, such as a full, read-only or failing disk; a batch that exceeds a limit of
  // this header, or has a record without a name or a log entry without an index; a store that is not open;
  // or, from a Worker, a batch after one that failed.
  kFailed,
};
// Returns the name of a code for log lines and status pages.
const char* NameOf(StoreErrorCode code);

struct StoreError {
  StoreErrorCode code = StoreErrorCode::kNone;
  std::string path;       // of the store
  std::string operation;  // the failed call or SQL statement, or the name of the record or log entry
  int sqlite_code = 0;    // SQLite's result code; 0 if the error does not come from SQLite
  std::string message;    // the path and the reason, on one line

  // Returns the code's name and the message.
  std::string ToString() const;
};

inline constexpr std::size_t kMaxNameBytes = 128;
inline constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20;
inline constexpr std::uint64_t kFormatVersion = 1;

struct Record {
  Record(std::string record_name, std::string record_value)
      : name(std::move(record_name)), value(std::move(record_value)) {}

  std::string name;
  std::string value;  // in a batch, an empty value removes the record
};

struct LogEntry {
  LogEntry(std::uint64_t entry_index, std::string entry_value)
      : index(entry_index), value(std::move(entry_value)) {}

  std::uint64_t index = 0;
  std::string value;
};

// One atomic change. Its parts are applied in the order of the fields.
struct WriteBatch {
  std::vector<Record> records;
  std::optional<std::uint64_t> truncate_after;   // removes the log entries after this index
  std::vector<LogEntry> log;                     // inserts or replaces these entries
  std::optional<std::uint64_t> compact_through;  // removes the log entries up to and including this index
};

// The complete contents of a store.
struct StoreContents {
  std::map<std::string, std::string> records;  // value by name
  std::map<std::uint64_t, std::string> log;    // value by index; the indices are contiguous
};

class Database {
 public:
  struct Options {
    std::string path;
    std::string owner;  // names the fleet and the proxy; written on creation, verified on each later Open
    std::uint64_t max_bytes = std::uint64_t{64} << 20;
    const char* vfs_name = nullptr;  // SQLite's VFS; null: the default one, on the real disk
  };

  explicit Database(Options options) : options_(std::move(options)) {}
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  // Opens or creates the store and reads its contents. Closes the store first if it is open.
  [[nodiscard]] tl::expected<StoreContents, StoreError> Open();
  // Applies the batch. On success the complete batch is durable; after an error no part of it is.
  [[nodiscard]] tl::expected<void, StoreError> Write(const WriteBatch& batch);
  // Returns the space of removed records and log entries to the file system.
  [[nodiscard]] tl::expected<void, StoreError> Compact();
  void Close();

 private:
  StoreError SqliteError(int sqlite_code, std::string_view operation) const;
  StoreError MakeError(StoreErrorCode code, std::string operation, const std::string& reason) const;
  tl::expected<void, StoreError> Execute(const char* statement);
  tl::expected<void, StoreError> Configure();
  tl::expected<StoreContents, StoreError> ReadAll();
  tl::expected<void, StoreError> ReadRecords(StoreContents& contents);
  tl::expected<void, StoreError> ReadLog(StoreContents& contents);
  tl::expected<void, StoreError> VerifyIdentity();
  tl::expected<void, StoreError> CheckLimits(const WriteBatch& batch) const;
  tl::expected<void, StoreError> WriteRecords(const std::vector<Record>& records);
  tl::expected<void, StoreError> WriteLog(const std::vector<LogEntry>& entries);
  tl::expected<void, StoreError> DeleteLog(const char* statement, std::uint64_t index);
  tl::expected<void, StoreError> ApplyBatch(const WriteBatch& batch);

  Options options_;
  sqlite3* db_ = nullptr;
};

}  // namespace lemoncroft::storage

#endif  // LEMONCROFT_STORAGE_DATABASE_H_
