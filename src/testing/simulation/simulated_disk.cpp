#include "testing/simulation/simulated_disk.h"

#include <sqlite3.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <new>
#include <thread>

namespace lemoncroft::simulation {
namespace {

struct Handle {
  sqlite3_file base;
  SimulatedDisk* disk;
  std::shared_ptr<SimulatedDisk::File>* file;
};

Handle& Of(sqlite3_file* file) { return *reinterpret_cast<Handle*>(file); }

void Put(std::string& bytes, std::size_t at, const std::string& data) {
  if (bytes.size() < at + data.size()) bytes.resize(at + data.size(), '\0');
  bytes.replace(at, data.size(), data);
}

void ApplyWrite(std::string& bytes, const SimulatedDisk::File::PendingWrite& write) {
  if (write.truncate)
    bytes.resize(write.offset, '\0');
  else
    Put(bytes, write.offset, write.bytes);
}

int Close(sqlite3_file* file) {
  delete Of(file).file;
  Of(file).file = nullptr;
  return SQLITE_OK;
}

int Read(sqlite3_file* file, void* out, int size, sqlite3_int64 at) {
  const std::string& bytes = (*Of(file).file)->current;
  const auto from = static_cast<std::size_t>(at), requested = static_cast<std::size_t>(size);
  const std::size_t available = from >= bytes.size() ? 0 : std::min(requested, bytes.size() - from);
  std::memcpy(out, bytes.data() + std::min(from, bytes.size()), available);
  if (available == requested) return SQLITE_OK;
  std::memset(static_cast<char*>(out) + available, 0, requested - available);
  return SQLITE_IOERR_SHORT_READ;
}

int Write(sqlite3_file* file, const void* from, int size, sqlite3_int64 at) {
  Handle& handle = Of(file);
  if (!handle.disk->BeginOperation()) return SQLITE_IOERR_WRITE;
  if (!handle.disk->Fits(static_cast<std::uint64_t>(size))) return SQLITE_FULL;
  SimulatedDisk::File::PendingWrite write{
      static_cast<std::size_t>(at),
      std::string(static_cast<const char*>(from), static_cast<std::size_t>(size)), false};
  ApplyWrite(((*handle.file)->current), write);
  (*handle.file)->unsynced.push_back(std::move(write));
  return SQLITE_OK;
}

int Truncate(sqlite3_file* file, sqlite3_int64 size) {
  Handle& handle = Of(file);
  if (!handle.disk->BeginOperation()) return SQLITE_IOERR_TRUNCATE;
  SimulatedDisk::File::PendingWrite write{static_cast<std::size_t>(size), {}, true};
  ApplyWrite((*handle.file)->current, write);
  (*handle.file)->unsynced.push_back(std::move(write));
  return SQLITE_OK;
}

int Sync(sqlite3_file* file, int) {
  Handle& handle = Of(file);
  if (!handle.disk->BeginOperation()) return SQLITE_IOERR_FSYNC;
  if (handle.disk->sync_duration().count() > 0) std::this_thread::sleep_for(handle.disk->sync_duration());
  (*handle.file)->synced = (*handle.file)->current;
  (*handle.file)->unsynced.clear();
  return SQLITE_OK;
}

int FileSize(sqlite3_file* file, sqlite3_int64* size) {
  *size = static_cast<sqlite3_int64>((*Of(file).file)->current.size());
  return SQLITE_OK;
}

int Lock(sqlite3_file*, int) { return SQLITE_OK; }
int CheckReservedLock(sqlite3_file*, int* held) {
  *held = 0;
  return SQLITE_OK;
}
int FileControl(sqlite3_file*, int, void*) { return SQLITE_NOTFOUND; }
int SectorSize(sqlite3_file*) { return 512; }
int Characteristics(sqlite3_file*) { return 0; }

const sqlite3_io_methods kMethods = {1,
                                     Close,
                                     Read,
                                     Write,
                                     Truncate,
                                     Sync,
                                     FileSize,
                                     Lock,
                                     Lock,
                                     CheckReservedLock,
                                     FileControl,
                                     SectorSize,
                                     Characteristics,
                                     nullptr,
                                     nullptr,
                                     nullptr,
                                     nullptr,
                                     nullptr,
                                     nullptr};

SimulatedDisk& DiskOf(sqlite3_vfs* vfs) { return *static_cast<SimulatedDisk*>(vfs->pAppData); }

int Open(sqlite3_vfs* vfs, const char* path, sqlite3_file* file, int flags, int* out) {
  Handle& handle = Of(file);
  handle.base.pMethods = nullptr;
  SimulatedDisk& disk = DiskOf(vfs);
  const std::string name = path == nullptr ? "" : path;
  auto it = disk.files().find(name);
  if (it == disk.files().end()) {
    if ((flags & SQLITE_OPEN_CREATE) == 0) return SQLITE_CANTOPEN;
    if (!disk.BeginOperation()) return SQLITE_IOERR;
    it = disk.files().emplace(name, std::make_shared<SimulatedDisk::File>()).first;
  }
  handle.disk = &disk;
  handle.file = new std::shared_ptr<SimulatedDisk::File>(it->second);
  handle.base.pMethods = &kMethods;
  if (out != nullptr) *out = flags;
  return SQLITE_OK;
}

int Delete(sqlite3_vfs* vfs, const char* path, int) {
  SimulatedDisk& disk = DiskOf(vfs);
  if (!disk.BeginOperation()) return SQLITE_IOERR_DELETE;
  return disk.files().erase(path) > 0 ? SQLITE_OK : SQLITE_IOERR_DELETE_NOENT;
}

int Access(sqlite3_vfs* vfs, const char* path, int, int* exists) {
  *exists = DiskOf(vfs).files().contains(path) ? 1 : 0;
  return SQLITE_OK;
}

int FullPathname(sqlite3_vfs*, const char* path, int size, char* out) {
  std::strncpy(out, path, static_cast<std::size_t>(size));
  out[size - 1] = '\0';
  return SQLITE_OK;
}

int Randomness(sqlite3_vfs*, int size, char* out) {
  std::memset(out, 7, static_cast<std::size_t>(size));
  return size;
}
int Sleep(sqlite3_vfs*, int us) { return us; }
int CurrentTime(sqlite3_vfs*, double* now) {
  *now = 2'460'000;
  return SQLITE_OK;
}
int LastError(sqlite3_vfs*, int, char*) { return 0; }

std::atomic<int> next_disk_number{0};

}  // namespace

SimulatedDisk::SimulatedDisk() : name_("lemoncroft-disk-" + std::to_string(next_disk_number++)) {
  auto* vfs = new sqlite3_vfs{};
  vfs->iVersion = 1;
  vfs->szOsFile = sizeof(Handle);
  vfs->mxPathname = 512;
  vfs->zName = name_.c_str();
  vfs->pAppData = this;
  vfs->xOpen = Open;
  vfs->xDelete = Delete;
  vfs->xAccess = Access;
  vfs->xFullPathname = FullPathname;
  vfs->xRandomness = Randomness;
  vfs->xSleep = Sleep;
  vfs->xCurrentTime = CurrentTime;
  vfs->xGetLastError = LastError;
  sqlite3_vfs_register(vfs, 0);
  vfs_ = vfs;
}

SimulatedDisk::~SimulatedDisk() {
  auto* vfs = static_cast<sqlite3_vfs*>(vfs_);
  sqlite3_vfs_unregister(vfs);
  delete vfs;
}

bool SimulatedDisk::BeginOperation() { return ++operations_ < fail_from_; }

bool SimulatedDisk::Fits(std::uint64_t more_bytes) const {
  std::uint64_t used = 0;
  for (const auto& [name, file] : files_) used += file->current.size();
  return used + more_bytes <= capacity_;
}

void SimulatedDisk::Crash(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  for (auto& [name, file] : files_) {
    auto recovered = std::make_shared<File>();
    recovered->synced = file->synced;
    std::vector<File::PendingWrite> pending = std::move(file->unsynced);
    std::shuffle(pending.begin(), pending.end(), random);
    pending.resize(pending.empty() ? 0 : random() % (pending.size() + 1));
    if (!pending.empty() && !pending.back().truncate && !pending.back().bytes.empty())
      pending.back().bytes.resize(random() % pending.back().bytes.size());
    for (const File::PendingWrite& write : pending) ApplyWrite(recovered->synced, write);
    recovered->current = recovered->synced;
    file = std::move(recovered);
  }
  fail_from_ = UINT64_MAX;
  capacity_ = UINT64_MAX;
}

void SimulatedDisk::FlipBit(const std::string& file, std::size_t bit) {
  std::string& bytes = files_.at(file)->current;
  bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << bit % 8));
}

std::size_t SimulatedDisk::SizeOf(const std::string& file) const {
  const auto it = files_.find(file);
  return it == files_.end() ? 0 : it->second->current.size();
}

}  // namespace lemoncroft::simulation
