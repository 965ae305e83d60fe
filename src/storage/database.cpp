#include "storage/database.h"

#include <sqlite3.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <string_view>

namespace lemoncroft::storage {
namespace {

// A statement in use; what it is bound to must live as long.
class Statement {
 public:
  Statement(sqlite3* db, const char* text) { code_ = sqlite3_prepare_v2(db, text, -1, &statement_, nullptr); }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  void Bind(int at, std::int64_t value) {
    if (code_ == SQLITE_OK) code_ = sqlite3_bind_int64(statement_, at, value);
  }
  void Bind(int at, std::string_view value) {
    if (code_ == SQLITE_OK)
      code_ = sqlite3_bind_blob(statement_, at, value.data(), static_cast<int>(value.size()), SQLITE_STATIC);
  }
  int Step() {
    if (code_ == SQLITE_OK || code_ == SQLITE_ROW) code_ = sqlite3_step(statement_);
    return code_;
  }
  // Runs it to its end and makes it ready for other values.
  int Done() {
    const int code = Step();
    if (code == SQLITE_DONE) code_ = sqlite3_reset(statement_);
    return code;
  }
  std::int64_t Number(int at) { return sqlite3_column_int64(statement_, at); }
  std::string Bytes(int at) {
    const void* bytes = sqlite3_column_blob(statement_, at);
    const int size = sqlite3_column_bytes(statement_, at);
    return bytes == nullptr ? std::string()
                            : std::string(static_cast<const char*>(bytes), static_cast<std::size_t>(size));
  }

 private:
  sqlite3_stmt* statement_ = nullptr;
  int code_ = SQLITE_OK;
};

// Of a record's name too: a value under another name is not what was written.
std::int64_t SumOf(std::string_view name, std::string_view value) {
  const std::uint64_t seed = XXH3_64bits(name.data(), name.size());
  return static_cast<std::int64_t>(XXH3_64bits_withSeed(value.data(), value.size(), seed));
}

std::string NameOfEntry(std::uint64_t number) { return "#" + std::to_string(number); }

}  // namespace

const char* NameOf(Health health) {
  constexpr const char* kNames[] = {"done", "held by another process", "foreign", "damaged", "failed"};
  return kNames[static_cast<std::size_t>(health)];
}

Database::~Database() { Close(); }

void Database::Close() {
  sqlite3_close_v2(db_);
  db_ = nullptr;
}

Health Database::Fail(int code, std::string& why) const {
  why = terms_.path + ": " + (db_ != nullptr ? sqlite3_errmsg(db_) : sqlite3_errstr(code));
  switch (code & 0xff) {
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      return Health::kHeld;
    case SQLITE_NOTADB:
      return Health::kForeign;
    case SQLITE_CORRUPT:
      return Health::kDamaged;
    default:
      return Health::kFailed;
  }
}

Health Database::Run(const char* statement, std::string& why) {
  const int code = sqlite3_exec(db_, statement, nullptr, nullptr, nullptr);
  return code == SQLITE_OK ? Health::kDone : Fail(code, why);
}

Health Database::Open(Contents& contents, std::string& why) {
  Close();
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
  const int code = sqlite3_open_v2(terms_.path.c_str(), &db_, flags, terms_.system);
  if (code != SQLITE_OK) return Fail(code, why);
  // Exclusive: one process at a time, and no memory shared with others. Full: durable before a batch is done.
  const std::string pages = "PRAGMA max_page_count=" + std::to_string(terms_.bytes_most / 4096) + ";";
  for (const char* statement :
       {"PRAGMA locking_mode=EXCLUSIVE;", "PRAGMA journal_mode=WAL;", "PRAGMA synchronous=FULL;",
        pages.c_str(), "PRAGMA wal_autocheckpoint=256;", "BEGIN IMMEDIATE;",
        "CREATE TABLE IF NOT EXISTS records(name BLOB PRIMARY KEY, value BLOB, sum INTEGER) WITHOUT ROWID;",
        "CREATE TABLE IF NOT EXISTS log(number INTEGER PRIMARY KEY, value BLOB, sum INTEGER);", "COMMIT;"}) {
    const Health health = Run(statement, why);
    if (health != Health::kDone) return health;
  }
  const Health health = Read(contents, why);
  return health == Health::kDone ? Identify(why) : health;
}

Health Database::Read(Contents& contents, std::string& why) {
  contents = {};
  Statement records(db_, "SELECT name, value, sum FROM records");
  int code = records.Step();
  for (; code == SQLITE_ROW; code = records.Step()) {
    std::string name = records.Bytes(0), value = records.Bytes(1);
    if (records.Number(2) != SumOf(name, value)) {
      why = terms_.path + ": the record '" + name + "' is not what was written";
      return Health::kDamaged;
    }
    contents.records.emplace(std::move(name), std::move(value));
  }
  if (code != SQLITE_DONE) return Fail(code, why);
  Statement log(db_, "SELECT number, value, sum FROM log ORDER BY number");
  for (code = log.Step(); code == SQLITE_ROW; code = log.Step()) {
    const auto number = static_cast<std::uint64_t>(log.Number(0));
    std::string value = log.Bytes(1);
    const bool follows = contents.log.empty() || contents.log.rbegin()->first + 1 == number;
    if (log.Number(2) != SumOf(NameOfEntry(number), value) || !follows) {
      why = terms_.path + ": the log's entry " + std::to_string(number) + " is not what was written";
      return Health::kDamaged;
    }
    contents.log.emplace(number, std::move(value));
  }
  return code == SQLITE_DONE ? Health::kDone : Fail(code, why);
}

// Whose it is, and in which format: written by its first opening.
Health Database::Identify(std::string& why) {
  const std::pair<std::string, std::string> wanted[] = {{"@format", std::to_string(kFormat)},
                                                        {"@owner", terms_.owner}};
  for (const auto& [name, value] : wanted) {
    Statement find(db_, "SELECT value FROM records WHERE name = ?");
    find.Bind(1, std::string_view(name));
    const int code = find.Step();
    if (code == SQLITE_ROW && find.Bytes(0) == value) continue;
    if (code == SQLITE_ROW) {
      why = terms_.path + ": its " + name.substr(1) + " is '" + find.Bytes(0) + "', not '" + value + "'";
      return Health::kForeign;
    }
    if (code != SQLITE_DONE) return Fail(code, why);
    Batch batch;
    batch.records.emplace_back(name, value);
    const Health health = Write(batch, why);
    if (health != Health::kDone) return health;
  }
  return Health::kDone;
}

Health Database::Write(const Batch& batch, std::string& why) {
  if (db_ == nullptr) {
    why = terms_.path + ": not open";
    return Health::kFailed;
  }
  for (const auto& [name, value] : batch.records) {
    if (!name.empty() && name.size() <= kNameMost && value.size() <= kValueMost) continue;
    why = terms_.path + ": a record is too long, or without a name";
    return Health::kFailed;
  }
  for (const auto& [number, value] : batch.log) {
    if (number > 0 && value.size() <= kValueMost) continue;
    why = terms_.path + ": an entry of the log is too long, or without a number";
    return Health::kFailed;
  }
  Health health = Run("BEGIN IMMEDIATE", why);
  if (health != Health::kDone) return health;
  const auto all = [&]() -> int {
    Statement put(db_, "INSERT OR REPLACE INTO records VALUES(?, ?, ?)");
    Statement drop(db_, "DELETE FROM records WHERE name = ?");
    for (const auto& [name, value] : batch.records) {
      Statement& statement = value.empty() ? drop : put;
      statement.Bind(1, std::string_view(name));
      if (!value.empty()) {
        statement.Bind(2, std::string_view(value));
        statement.Bind(3, SumOf(name, value));
      }
      if (const int code = statement.Done(); code != SQLITE_DONE) return code;
    }
    const std::pair<const char*, std::optional<std::uint64_t>> cuts[] = {
        {"DELETE FROM log WHERE number > ?", batch.cut_behind},
        {"DELETE FROM log WHERE number <= ?", batch.cut_before}};
    if (batch.cut_behind) {
      Statement cut(db_, cuts[0].first);
      cut.Bind(1, static_cast<std::int64_t>(*batch.cut_behind));
      if (const int code = cut.Done(); code != SQLITE_DONE) return code;
    }
    Statement add(db_, "INSERT OR REPLACE INTO log VALUES(?, ?, ?)");
    for (const auto& [number, value] : batch.log) {
      add.Bind(1, static_cast<std::int64_t>(number));
      add.Bind(2, std::string_view(value));
      add.Bind(3, SumOf(NameOfEntry(number), value));
      if (const int code = add.Done(); code != SQLITE_DONE) return code;
    }
    if (batch.cut_before) {
      Statement cut(db_, cuts[1].first);
      cut.Bind(1, static_cast<std::int64_t>(*batch.cut_before));
      if (const int code = cut.Done(); code != SQLITE_DONE) return code;
    }
    return SQLITE_DONE;
  };
  const int code = all();
  if (code == SQLITE_DONE) {
    health = Run("COMMIT", why);
    if (health == Health::kDone) return health;
  } else {
    health = Fail(code, why);
  }
  sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
  return health;
}

Health Database::Compact(std::string& why) {
  const Health health = Run("VACUUM", why);
  return health == Health::kDone ? Run("PRAGMA wal_checkpoint(TRUNCATE)", why) : health;
}

}  // namespace lemoncroft::storage
