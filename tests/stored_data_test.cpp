// Tests that data stored by an earlier process is read with the same meaning, and that data is still stored
// in the same form: a voter's store, the manually ejected engines, and the registry of a proxy's processes.
// The files under fixtures/ were written once and must not change.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sqlite3.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <string>

#include "hot_restart/ejection_store.h"
#include "hot_restart/process_registry.h"
#include "proxy/ejection_request_store.h"
#include "raft/codec.h"
#include "replicated_config/config_state_machine.h"
#include "storage/database.h"

namespace lemoncroft {
namespace {

namespace fs = std::filesystem;
using namespace std::chrono_literals;

const fs::path kFixtures = LEMONCROFT_FIXTURES;
constexpr const char* kOwner = "f1/n1";

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (fs::temp_directory_path() / "lemoncroft-stored-XXXXXX").string();
    path_ = ::mkdtemp(name.data());
  }
  ~TemporaryFolder() { fs::remove_all(path_); }
  const fs::path& path() const { return path_; }

 private:
  fs::path path_;
};

std::string BytesOf(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string Hex(const std::string& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (const unsigned char byte : bytes) {
    out += kDigits[byte >> 4];
    out += kDigits[byte & 15];
  }
  return out;
}

std::set<std::string> FileNamesIn(const fs::path& folder) {
  std::set<std::string> names;
  for (const auto& entry : fs::directory_iterator(folder)) names.insert(entry.path().filename());
  return names;
}

// ---- A voter's store ----

constexpr const char* kFirstDocument = "format 1\nattempts 3\n";
constexpr const char* kSecondDocument = "format 1\nattempts 3\nout \"e7\"\n";
constexpr const char* kThirdDocument = "format 1\nattempts 3\nopen-most 500\nout \"e7\"\n";
constexpr const char* kFounders = "n1 1311768467463790320\nn2 42\nn3 77\n";

const std::map<std::string, std::string> kRecordsHex = {
    {"@format", Hex("1")},
    {"@owner", Hex(kOwner)},
    {"founders", Hex(kFounders)},
    {"promise", "9207c4026e32"},
    {"snapshot",
     "94050493c4026e31c4026e32c4026e33c4759402019801c414666f726d617420310a617474656d70747320330aa3616461cf000"
     "001"
     "8bcfe5680002c41d666f726d617420310a617474656d70747320330a6f757420226537220aad6e32206578636c756465206537c"
     "f00"
     "00018bcfe56be899a46e312d310001a46e322d310002a46e332d310102"},
    {"store", Hex("1311768467463790320")}};
const std::map<std::uint64_t, std::string> kLogHex = {{6, "95050600c40090"},
                                                      {7, "95050701c40392010290"},
                                                      {8, "95060802c40094c4026e31c4026e32c4026e33c4026e34"},
                                                      {9,
                                                       "95060901c4429600a46e312d3202c42b666f726d617420310a617"
                                                       "474656d70747320330a6f70656e2d6d6f7374203530300a6f7574"
                                                       "20226537220aa3616461cf0000018bcfe573b890"}};

// Returns the complete contents of an SQLite file, including the table definitions and the checksums.
std::string DumpOf(const fs::path& path) {
  sqlite3* db = nullptr;
  EXPECT_EQ(sqlite3_open_v2(path.c_str(), &db, SQLITE_OPEN_READWRITE, nullptr), SQLITE_OK);
  std::string out;
  const auto append_row = [](void* to, int columns, char** values, char**) {
    for (int i = 0; i < columns; ++i) *static_cast<std::string*>(to) += std::string(values[i]) + "|";
    *static_cast<std::string*>(to) += "\n";
    return 0;
  };
  for (const char* query : {"SELECT name, sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY name",
                            "SELECT hex(name), hex(value), sum FROM records ORDER BY name",
                            "SELECT number, hex(value), sum FROM log ORDER BY number"})
    EXPECT_EQ(sqlite3_exec(db, query, append_row, &out, nullptr), SQLITE_OK) << sqlite3_errmsg(db);
  sqlite3_close(db);
  return out;
}

class VoterStore : public ::testing::Test {
 protected:
  VoterStore() : path_(folder_.path() / "voter.db") {
    fs::copy_file(kFixtures / "store/voter.db", path_);
    fs::permissions(path_, fs::perms::owner_write, fs::perm_options::add);
    auto contents = storage::Database({path_, kOwner}).Open();
    EXPECT_TRUE(contents) << contents.error().ToString();
    if (contents) contents_ = std::move(*contents);
  }

  TemporaryFolder folder_;
  fs::path path_;
  storage::StoreContents contents_;
};

TEST_F(VoterStore, EarlierStore_Opened_ContainsEachRecord) {
  std::map<std::string, std::string> records;
  for (const auto& [name, value] : contents_.records) records[name] = Hex(value);
  std::map<std::uint64_t, std::string> log;
  for (const auto& [number, value] : contents_.log) log[number] = Hex(value);
  EXPECT_EQ(records, kRecordsHex);
  EXPECT_EQ(log, kLogHex);
}

TEST_F(VoterStore, EarlierStore_OpenedByAnotherOwner_IsForeign) {
  const auto contents = storage::Database({path_, "f1/n2"}).Open();
  ASSERT_FALSE(contents);
  EXPECT_EQ(contents.error().code, storage::StoreErrorCode::kForeign);
}

TEST_F(VoterStore, SameContents_WrittenAgain_HaveTheSameTablesRowsAndChecksums) {
  const fs::path new_store = folder_.path() / "new_store.db";
  storage::WriteBatch batch;
  for (const auto& [name, value] : contents_.records)
    if (!name.starts_with('@')) batch.records.emplace_back(name, value);
  for (const auto& [index, value] : contents_.log) batch.log.emplace_back(index, value);
  storage::Database database({new_store, kOwner});
  const auto opened = database.Open();
  ASSERT_TRUE(opened) << opened.error().ToString();
  const auto written = database.Write(batch);
  ASSERT_TRUE(written) << written.error().ToString();
  database.Close();
  const std::string dump = DumpOf(new_store);
  EXPECT_NE(dump.find("CREATE TABLE records"), std::string::npos) << dump;
  EXPECT_EQ(dump, DumpOf(path_));
}

// Returns the state that the hard state, the snapshot and the log of the voter's store encode.
raft::PersistentState ExpectedPersistentState() {
  raft::PersistentState state;
  state.hard_state = {7, "n2"};
  state.snapshot.index = 5;
  state.snapshot.term = 4;
  state.snapshot.voters = {"n1", "n2", "n3"};
  replicated_config::ConfigStateMachine state_machine;
  for (const auto& change :
       {replicated_config::ConfigChange{"n1-1", 0, kFirstDocument, "ada", 1700000000000},
        replicated_config::ConfigChange{"n2-1", 1, kSecondDocument, "n2 exclude e7", 1700000001000},
        replicated_config::ConfigChange{"n3-1", 1, kThirdDocument, "eve", 1700000002000}}) {
    state_machine.Apply(replicated_config::EncodeEntry(change));
    if (change.base_version == 0)
      state_machine.Apply(replicated_config::EncodeEntry(replicated_config::Version{1}));
  }
  state.snapshot.data = state_machine.Snapshot();
  using raft::EntryKind;
  const replicated_config::ConfigChange last{"n1-2", 2, kThirdDocument, "ada", 1700000003000};
  state.log = {{5, 6, EntryKind::kNoOp, "", {}},
               {5, 7, EntryKind::kData, replicated_config::EncodeEntry(replicated_config::Version{2}), {}},
               {6, 8, EntryKind::kVoters, "", {"n1", "n2", "n3", "n4"}},
               {6, 9, EntryKind::kData, replicated_config::EncodeEntry(last), {}}};
  return state;
}

TEST_F(VoterStore, EarlierStore_Decoded_ContainsTermVoteSnapshotAndLog) {
  const raft::PersistentState expected = ExpectedPersistentState();
  EXPECT_EQ(raft::DecodeHardState(contents_.records["promise"]), expected.hard_state);
  EXPECT_EQ(raft::DecodeSnapshot(contents_.records["snapshot"]), expected.snapshot);
  ASSERT_EQ(contents_.log.size(), expected.log.size());
  for (const raft::Entry& entry : expected.log)
    EXPECT_EQ(raft::DecodeEntry(contents_.log[entry.index]), entry) << entry.index;
}

TEST_F(VoterStore, SameState_EncodedAgain_HasTheSameBytes) {
  const raft::PersistentState state = ExpectedPersistentState();
  EXPECT_EQ(Hex(raft::Encode(state.hard_state)), kRecordsHex.at("promise"));
  EXPECT_EQ(Hex(raft::Encode(state.snapshot)), kRecordsHex.at("snapshot"));
  for (const raft::Entry& entry : state.log)
    EXPECT_EQ(Hex(raft::Encode(entry)), kLogHex.at(entry.index)) << entry.index;
}

TEST_F(VoterStore, EarlierStore_Restored_ContainsDocumentsAndOutcomes) {
  replicated_config::ConfigStateMachine state_machine;
  ASSERT_TRUE(state_machine.Restore(raft::DecodeSnapshot(contents_.records["snapshot"])->data));
  EXPECT_EQ(state_machine.latest_version(), 2u);
  EXPECT_EQ(state_machine.active_version(), 1u);
  EXPECT_EQ(*state_machine.Find(1), (replicated_config::VersionRecord{kFirstDocument, "ada", 1700000000000}));
  EXPECT_EQ(*state_machine.Find(2),
            (replicated_config::VersionRecord{kSecondDocument, "n2 exclude e7", 1700000001000}));
  EXPECT_EQ(state_machine.FindOutcome("n2-1")->status, replicated_config::ChangeStatus::kCommitted);
  EXPECT_EQ(state_machine.FindOutcome("n3-1")->status, replicated_config::ChangeStatus::kConflict);
  for (const auto& [number, bytes] : contents_.log) {
    const auto entry = raft::DecodeEntry(bytes);
    if (entry->kind == raft::EntryKind::kData) state_machine.Apply(entry->data);
  }
  EXPECT_EQ(state_machine.latest_version(), 3u);
  EXPECT_EQ(state_machine.active_version(), 2u);
  EXPECT_EQ(*state_machine.Find(3), (replicated_config::VersionRecord{kThirdDocument, "ada", 1700000003000}));
}

// ---- Manually ejected engines ----

const std::set<std::string> kEjectionFiles = {"back-6539", "out-64622f323a78", "out-732d31"};

TEST(EjectionStore, EarlierFiles_Read_ContainTheEngines) {
  const TemporaryFolder folder;
  fs::copy(kFixtures / "tmpdir", folder.path(), fs::copy_options::recursive);
  const fs::file_time_type::clock::duration returned = 1'700'000'000s;
  fs::last_write_time(folder.path() / "lemoncroft-hand-1/back-6539",
                      fs::file_time_type::clock::from_sys(std::chrono::sys_time<std::chrono::nanoseconds>(
                          std::chrono::duration_cast<std::chrono::nanoseconds>(returned))));
  const auto ejections = hot_restart::EjectionStore(folder.path()).Read();
  ASSERT_TRUE(ejections);
  EXPECT_EQ(ejections->ejected, (std::set<std::string>{"db/2:x", "s-1"}));
  ASSERT_EQ(ejections->returned_at.size(), 1u);
  EXPECT_EQ(ejections->returned_at.at("e9"), hot_restart::UnixTime(1'700'000'000s));
}

TEST(EjectionStore, SameCalls_Repeated_CreateTheSameFiles) {
  const TemporaryFolder folder;
  const hot_restart::EjectionStore store(folder.path());
  for (const char* id : {"s-1", "db/2:x", "e9"}) EXPECT_TRUE(store.SaveEjection(id));
  EXPECT_TRUE(store.SaveReturn("e9"));
  EXPECT_EQ(FileNamesIn(folder.path()), (std::set<std::string>{"lemoncroft-hand-1"}));
  const fs::path files = folder.path() / "lemoncroft-hand-1";
  EXPECT_EQ(FileNamesIn(files), kEjectionFiles);
  EXPECT_EQ(FileNamesIn(kFixtures / "tmpdir/lemoncroft-hand-1"), kEjectionFiles);
  for (const std::string& name : kEjectionFiles) EXPECT_EQ(fs::file_size(files / name), 0u) << name;
}

// ---- Operators' ejections that the fleet has not agreed on ----

constexpr const char* kRequestFile = proxy::EjectionRequestStore::kFileName;

proxy::EjectionRequestStore OpenRequests(const fs::path& folder) {
  return proxy::EjectionRequestStore(hot_restart::SharedFile::Open(folder, kRequestFile));
}

TEST(EjectionRequestStore, EarlierFile_Read_ContainsTheRequests) {
  const TemporaryFolder folder;
  fs::copy_file(kFixtures / "tmpdir" / kRequestFile, folder.path() / kRequestFile);
  const proxy::EjectionRequestStore store = OpenRequests(folder.path());
  const replicated_config::EjectionRequests& requests = store.requests();
  const std::vector<replicated_config::EjectionRequest> pending = {
      {"n4-1", "s-1", replicated_config::EjectionAction::kEject, false, true},
      {"n4-2", "db/2:x", replicated_config::EjectionAction::kReturnToService, true, false}};
  EXPECT_EQ(requests.pending(), pending);
  const std::vector<replicated_config::CommittedEjection> committed = {
      {"n4-0", "e9", replicated_config::EjectionAction::kEject, 6, false}};
  EXPECT_EQ(requests.committed(), committed);
  ASSERT_TRUE(requests.proposal());
  EXPECT_EQ(requests.proposal()->change, (replicated_config::ConfigChange{"n4-3", 6, "out \"e9\" \"s-1\"\n",
                                                                          "n4 exclude s-1", 1700000000000}));
  EXPECT_EQ(requests.proposal()->request_ids, std::set<std::string>{"n4-1"});
}

TEST(EjectionRequestStore, SameRequests_Stored_CreateTheSameFile) {
  const TemporaryFolder earlier, folder;
  fs::copy_file(kFixtures / "tmpdir" / kRequestFile, earlier.path() / kRequestFile);
  const proxy::EjectionRequestStore stored = OpenRequests(earlier.path());
  proxy::EjectionRequestStore store = OpenRequests(folder.path());
  for (int revision = 1; revision <= 3; ++revision)
    store.Update([&](replicated_config::EjectionRequests& requests) { requests = stored.requests(); });
  EXPECT_EQ(BytesOf(folder.path() / kRequestFile), BytesOf(kFixtures / "tmpdir" / kRequestFile));
}

// ---- Processes of one proxy ----

constexpr const char* kRegistryFile = "lemoncroft-census-1";
constexpr off_t kSlotBytes = 12;

TEST(ProcessRegistry, EarlierSlot_Locked_IsCounted) {
  const TemporaryFolder folder;
  const fs::path path = folder.path() / kRegistryFile;
  fs::copy_file(kFixtures / "tmpdir" / kRegistryFile, path);
  fs::permissions(path, fs::perms::owner_write, fs::perm_options::add);
  {
    const runtime::Descriptor other(::open(path.c_str(), O_RDWR | O_CLOEXEC));
    struct flock lock {};
    lock.l_type = F_WRLCK;
    lock.l_whence = SEEK_SET;
    lock.l_len = 1;
    ASSERT_EQ(::fcntl(other.get(), F_OFD_SETLK, &lock), 0);
    const hot_restart::ProcessRegistry registry(folder.path());
    const hot_restart::OtherProcesses others = registry.ReadOthers();
    EXPECT_EQ(others.processes, 1u);
    EXPECT_EQ(others.usage.clients, 5u);
    EXPECT_EQ(others.usage.engines, 1027u);
    EXPECT_EQ(others.usage.serving, 1u);
    registry.Publish({1, 2, 0});
    EXPECT_EQ(Hex(BytesOf(path).substr(kSlotBytes)), "010000000200000000000000") << "the next slot";
  }
  EXPECT_EQ(hot_restart::ProcessRegistry(folder.path()).ReadOthers().processes, 0u)
      << "no process holds a lock";
}

TEST(ProcessRegistry, SameUsage_Published_HasTheSameBytes) {
  const TemporaryFolder folder;
  const hot_restart::ProcessRegistry registry(folder.path());
  registry.Publish({5, 1027, 1});
  EXPECT_EQ(FileNamesIn(folder.path()), (std::set<std::string>{kRegistryFile}));
  EXPECT_EQ(Hex(BytesOf(folder.path() / kRegistryFile)), "050000000304000001000000");
  EXPECT_EQ(BytesOf(folder.path() / kRegistryFile), BytesOf(kFixtures / "tmpdir" / kRegistryFile));
}

}  // namespace
}  // namespace lemoncroft
