// A durable store for a small state: named records and an indexed log, changed by atomic batches.
//
// Contract. Calls block on the disk, so they belong on a thread of their own. A batch whose Write succeeded
// survives any crash; a batch that a crash interrupted is applied completely or not at all. Each record and
// log entry carries a checksum over its name and value: if one does not match, Open fails with kDamaged and
// returns nothing. No call ends the process. Owner: one thread, and one process at a time; a second process
// gets kLocked. Units: bytes; log indices from 1. Errors: StoreError. Source: SQLite's file format and
// write-ahead log; see docs/storage.md.
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
  kForeign,  // the store of another owner or of another format version, or no store at all
  kDamaged,  // a checksum does not match, or SQLite reports corruption
  kFailed,   // the disk is full, read-only or failing, or a limit of this header was exceeded
};
// For log lines and status pages.
const char* NameOf(StoreErrorCode code);

struct StoreError {
  StoreErrorCode code = StoreErrorCode::kNone;
  std::string path;       // of the store
  std::string operation;  // the SQL statement, or the record or log entry concerned
  int sqlite_code = 0;    // SQLite's result code; 0 if the error is not SQLite's
  std::string message;    // the path and the reason, on one line

  // The code's name and the message.
  std::string ToString() const;
};

inline constexpr std::size_t kMaxNameBytes = 128;
inline constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20;
inline constexpr std::uint64_t kFormatVersion = 1;

struct Record {
  Record(std::string record_name, std::string record_value)
      : name(std::move(record_name)), value(std::move(record_value)) {}

  std::string name;
  std::string value;  // empty in a batch: the record is removed
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

// All that a store holds.
struct StoreContents {
  std::map<std::string, std::string> records;  // value by name
  std::map<std::uint64_t, std::string> log;    // value by index, without a gap
};

class Database {
 public:
  struct Options {
    std::string path;
    std::string owner;  // the fleet's and the proxy's name; written when the store is created, then verified
    std::uint64_t max_bytes = std::uint64_t{64} << 20;
    const char* vfs_name = nullptr;  // SQLite's VFS; null: the default one, on the real disk
  };

  explicit Database(Options options) : options_(std::move(options)) {}
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  // Opens the store, or creates it, and reads all of it. Closes it first if it is open.
  [[nodiscard]] tl::expected<StoreContents, StoreError> Open();
  // Applies the batch; it is durable on return. After an error nothing of it is.
  [[nodiscard]] tl::expected<void, StoreError> Write(const WriteBatch& batch);
  // Returns the space of removed records and entries to the file system.
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
