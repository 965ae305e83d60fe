#include "storage/database.h"

#include <sqlite3.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lemoncroft::storage {
namespace {

constexpr std::uint64_t kPageBytes = 4096;
constexpr int kSqlitePrimaryCodeMask = 0xff;  // the low byte of a result code, extended or not

constexpr const char* kFormatRecord = "@format";
constexpr const char* kOwnerRecord = "@owner";

constexpr const char* kCreateRecords =
    "CREATE TABLE IF NOT EXISTS records(name BLOB PRIMARY KEY, value BLOB, sum INTEGER) WITHOUT ROWID;";
constexpr const char* kCreateLog =
    "CREATE TABLE IF NOT EXISTS log(number INTEGER PRIMARY KEY, value BLOB, sum INTEGER);";
constexpr const char* kSelectRecords = "SELECT name, value, sum FROM records";
constexpr const char* kSelectRecord = "SELECT value FROM records WHERE name = ?";
constexpr const char* kPutRecord = "INSERT OR REPLACE INTO records VALUES(?, ?, ?)";
constexpr const char* kDeleteRecord = "DELETE FROM records WHERE name = ?";
constexpr const char* kSelectLog = "SELECT number, value, sum FROM log ORDER BY number";
constexpr const char* kPutLogEntry = "INSERT OR REPLACE INTO log VALUES(?, ?, ?)";
constexpr const char* kTruncateLog = "DELETE FROM log WHERE number > ?";
constexpr const char* kCompactLog = "DELETE FROM log WHERE number <= ?";

// A prepared statement. Bound values must outlive it. After the first failure, later calls have no effect and
// Step returns the code of that failure.
class Statement {
 public:
  Statement(sqlite3* db, const char* text) { code_ = sqlite3_prepare_v2(db, text, -1, &statement_, nullptr); }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  void Bind(int parameter, std::int64_t value) {
    if (code_ == SQLITE_OK) code_ = sqlite3_bind_int64(statement_, parameter, value);
  }
  void Bind(int parameter, std::string_view value) {
    if (code_ == SQLITE_OK)
      code_ = sqlite3_bind_blob(statement_, parameter, value.data(), static_cast<int>(value.size()),
                                SQLITE_STATIC);
  }
  // Returns SQLite's result code.
  int Step() {
    if (code_ == SQLITE_OK || code_ == SQLITE_ROW) code_ = sqlite3_step(statement_);
    return code_;
  }
  // Executes a statement that returns no rows and resets it for further values.
  int StepAndReset() {
    const int code = Step();
    if (code == SQLITE_DONE) code_ = sqlite3_reset(statement_);
    return code;
  }
  std::int64_t Integer(int column) { return sqlite3_column_int64(statement_, column); }
  std::string Blob(int column) {
    const void* bytes = sqlite3_column_blob(statement_, column);
    const int size = sqlite3_column_bytes(statement_, column);
    return bytes == nullptr ? std::string()
                            : std::string(static_cast<const char*>(bytes), static_cast<std::size_t>(size));
  }

 private:
  sqlite3_stmt* statement_ = nullptr;
  int code_ = SQLITE_OK;
};

// The checksum covers the name, so that a value stored under a wrong name is detected.
std::int64_t ChecksumOf(std::string_view name, std::string_view value) {
  const std::uint64_t seed = XXH3_64bits(name.data(), name.size());
  return static_cast<std::int64_t>(XXH3_64bits_withSeed(value.data(), value.size(), seed));
}

std::string LogEntryName(std::uint64_t index) { return "#" + std::to_string(index); }

StoreErrorCode CodeOf(int sqlite_code) {
  switch (sqlite_code & kSqlitePrimaryCodeMask) {
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      return StoreErrorCode::kLocked;
    case SQLITE_NOTADB:
      return StoreErrorCode::kForeign;
    case SQLITE_CORRUPT:
      return StoreErrorCode::kDamaged;
    default:
      return StoreErrorCode::kFailed;
  }
}

}  // namespace

const char* NameOf(StoreErrorCode code) {
  constexpr const char* kNames[] = {"done", "held by another process", "foreign", "damaged", "failed"};
  return kNames[static_cast<std::size_t>(code)];
}

std::string StoreError::ToString() const { return std::string(NameOf(code)) + ": " + message; }

Database::~Database() { Close(); }

void Database::Close() {
  sqlite3_close_v2(db_);
  db_ = nullptr;
}

StoreError Database::SqliteError(int sqlite_code, std::string_view operation) const {
  const char* reason = db_ != nullptr ? sqlite3_errmsg(db_) : sqlite3_errstr(sqlite_code);
  return {CodeOf(sqlite_code), options_.path, std::string(operation), sqlite_code,
          options_.path + ": " + reason};
}

StoreError Database::MakeError(StoreErrorCode code, std::string operation, const std::string& reason) const {
  return {code, options_.path, std::move(operation), SQLITE_OK, options_.path + ": " + reason};
}

tl::expected<void, StoreError> Database::Execute(const char* statement) {
  const int sqlite_code = sqlite3_exec(db_, statement, nullptr, nullptr, nullptr);
  if (sqlite_code != SQLITE_OK) return tl::unexpected(SqliteError(sqlite_code, statement));
  return {};
}

// ---- Opening ----

tl::expected<StoreContents, StoreError> Database::Open() {
  Close();
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
  const int sqlite_code = sqlite3_open_v2(options_.path.c_str(), &db_, flags, options_.vfs_name);
  if (sqlite_code != SQLITE_OK) return tl::unexpected(SqliteError(sqlite_code, "open"));
  if (auto configured = Configure(); !configured) return tl::unexpected(std::move(configured.error()));
  auto contents = ReadAll();
  if (!contents) return contents;
  if (auto verified = VerifyIdentity(); !verified) return tl::unexpected(std::move(verified.error()));
  return contents;
}

// Exclusive locking excludes other processes and needs no shared memory. synchronous=FULL makes a commit
// durable before it returns.
tl::expected<void, StoreError> Database::Configure() {
  const std::string max_pages =
      "PRAGMA max_page_count=" + std::to_string(options_.max_bytes / kPageBytes) + ";";
  for (const char* statement :
       {"PRAGMA locking_mode=EXCLUSIVE;", "PRAGMA journal_mode=WAL;", "PRAGMA synchronous=FULL;",
        max_pages.c_str(), "PRAGMA wal_autocheckpoint=256;", "BEGIN IMMEDIATE;", kCreateRecords, kCreateLog,
        "COMMIT;"}) {
    if (auto executed = Execute(statement); !executed) return executed;
  }
  return {};
}

tl::expected<StoreContents, StoreError> Database::ReadAll() {
  StoreContents contents;
  if (auto read = ReadRecords(contents); !read) return tl::unexpected(std::move(read.error()));
  if (auto read = ReadLog(contents); !read) return tl::unexpected(std::move(read.error()));
  return contents;
}

tl::expected<void, StoreError> Database::ReadRecords(StoreContents& contents) {
  Statement select(db_, kSelectRecords);
  int sqlite_code = select.Step();
  for (; sqlite_code == SQLITE_ROW; sqlite_code = select.Step()) {
    std::string name = select.Blob(0);
    std::string value = select.Blob(1);
    if (select.Integer(2) != ChecksumOf(name, value))
      return tl::unexpected(
          MakeError(StoreErrorCode::kDamaged, name, "the record '" + name + "' does not match its checksum"));
    contents.records.emplace(std::move(name), std::move(value));
  }
  if (sqlite_code != SQLITE_DONE) return tl::unexpected(SqliteError(sqlite_code, kSelectRecords));
  return {};
}

tl::expected<void, StoreError> Database::ReadLog(StoreContents& contents) {
  Statement select(db_, kSelectLog);
  int sqlite_code = select.Step();
  for (; sqlite_code == SQLITE_ROW; sqlite_code = select.Step()) {
    const auto index = static_cast<std::uint64_t>(select.Integer(0));
    std::string value = select.Blob(1);
    const bool is_contiguous = contents.log.empty() || contents.log.rbegin()->first + 1 == index;
    if (select.Integer(2) != ChecksumOf(LogEntryName(index), value) || !is_contiguous)
      return tl::unexpected(MakeError(StoreErrorCode::kDamaged, LogEntryName(index),
                                      "the log entry " + std::to_string(index) +
                                          " does not match its checksum, or the one before it is missing"));
    contents.log.emplace(index, std::move(value));
  }
  if (sqlite_code != SQLITE_DONE) return tl::unexpected(SqliteError(sqlite_code, kSelectLog));
  return {};
}

// The first Open writes the format version and the owner; later calls compare them.
tl::expected<void, StoreError> Database::VerifyIdentity() {
  const Record expected[] = {{kFormatRecord, std::to_string(kFormatVersion)}, {kOwnerRecord, options_.owner}};
  for (const Record& record : expected) {
    Statement find(db_, kSelectRecord);
    find.Bind(1, std::string_view(record.name));
    const int sqlite_code = find.Step();
    if (sqlite_code == SQLITE_ROW) {
      const std::string found = find.Blob(0);
      if (found == record.value) continue;
      const std::string field = record.name.substr(1);  // without the "@"
      return tl::unexpected(MakeError(StoreErrorCode::kForeign, record.name,
                                      "its " + field + " is '" + found + "', not '" + record.value + "'"));
    }
    if (sqlite_code != SQLITE_DONE) return tl::unexpected(SqliteError(sqlite_code, kSelectRecord));
    WriteBatch batch;
    batch.records.push_back(record);
    if (auto written = Write(batch); !written) return written;
  }
  return {};
}

// ---- Writing ----

tl::expected<void, StoreError> Database::CheckLimits(const WriteBatch& batch) const {
  for (const Record& record : batch.records) {
    if (!record.name.empty() && record.name.size() <= kMaxNameBytes && record.value.size() <= kMaxValueBytes)
      continue;
    return tl::unexpected(MakeError(StoreErrorCode::kFailed, record.name,
                                    "a record has no name, or its name or value is too long"));
  }
  for (const LogEntry& entry : batch.log) {
    if (entry.index > 0 && entry.value.size() <= kMaxValueBytes) continue;
    return tl::unexpected(MakeError(StoreErrorCode::kFailed, LogEntryName(entry.index),
                                    "a log entry has no index, or its value is too long"));
  }
  return {};
}

tl::expected<void, StoreError> Database::Write(const WriteBatch& batch) {
  if (db_ == nullptr)
    return tl::unexpected(MakeError(StoreErrorCode::kFailed, "write", "the store is not open"));
  if (auto checked = CheckLimits(batch); !checked) return checked;
  if (auto begun = Execute("BEGIN IMMEDIATE"); !begun) return begun;
  auto result = ApplyBatch(batch);
  if (result) result = Execute("COMMIT");
  if (!result) sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
  return result;
}

tl::expected<void, StoreError> Database::ApplyBatch(const WriteBatch& batch) {
  if (auto written = WriteRecords(batch.records); !written) return written;
  if (batch.truncate_after)
    if (auto truncated = DeleteLog(kTruncateLog, *batch.truncate_after); !truncated) return truncated;
  if (auto written = WriteLog(batch.log); !written) return written;
  if (batch.compact_through)
    if (auto compacted = DeleteLog(kCompactLog, *batch.compact_through); !compacted) return compacted;
  return {};
}

tl::expected<void, StoreError> Database::WriteRecords(const std::vector<Record>& records) {
  Statement put(db_, kPutRecord);
  Statement remove(db_, kDeleteRecord);
  for (const Record& record : records) {
    const bool removed = record.value.empty();
    Statement& statement = removed ? remove : put;
    statement.Bind(1, std::string_view(record.name));
    if (!removed) {
      statement.Bind(2, std::string_view(record.value));
      statement.Bind(3, ChecksumOf(record.name, record.value));
    }
    if (const int sqlite_code = statement.StepAndReset(); sqlite_code != SQLITE_DONE)
      return tl::unexpected(SqliteError(sqlite_code, removed ? kDeleteRecord : kPutRecord));
  }
  return {};
}

tl::expected<void, StoreError> Database::WriteLog(const std::vector<LogEntry>& entries) {
  Statement put(db_, kPutLogEntry);
  for (const LogEntry& entry : entries) {
    put.Bind(1, static_cast<std::int64_t>(entry.index));
    put.Bind(2, std::string_view(entry.value));
    put.Bind(3, ChecksumOf(LogEntryName(entry.index), entry.value));
    if (const int sqlite_code = put.StepAndReset(); sqlite_code != SQLITE_DONE)
      return tl::unexpected(SqliteError(sqlite_code, kPutLogEntry));
  }
  return {};
}

tl::expected<void, StoreError> Database::DeleteLog(const char* statement, std::uint64_t index) {
  Statement remove(db_, statement);
  remove.Bind(1, static_cast<std::int64_t>(index));
  const int sqlite_code = remove.StepAndReset();
  if (sqlite_code != SQLITE_DONE) return tl::unexpected(SqliteError(sqlite_code, statement));
  return {};
}

tl::expected<void, StoreError> Database::Compact() {
  if (auto vacuumed = Execute("VACUUM"); !vacuumed) return vacuumed;
  return Execute("PRAGMA wal_checkpoint(TRUNCATE)");
}

}  // namespace lemoncroft::storage
