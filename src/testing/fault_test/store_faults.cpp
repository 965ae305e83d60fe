#include "testing/fault_test/store_faults.h"

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace lemoncroft::fault_test {
namespace {

constexpr const char* kWriteAheadLogSuffix = "-wal";
constexpr const char* kFileSuffixes[] = {"", kWriteAheadLogSuffix, "-shm"};
constexpr const char* kBackupSuffix = ".kept";

// One bit in every 97th byte of a file's newer half, but not in its header.
constexpr std::int64_t kHeaderBytes = 512, kCorruptionStride = 97;
constexpr int kFlippedBit = 0x10;

std::string BackupOf(const std::string& path, const char* suffix) { return path + kBackupSuffix + suffix; }

void FlipBits(const std::string& file_name) {
  std::fstream file(file_name, std::ios::in | std::ios::out | std::ios::binary | std::ios::ate);
  const auto size = static_cast<std::int64_t>(file.tellg());
  const std::int64_t end = std::max<std::int64_t>(size / 2, kHeaderBytes);
  for (std::int64_t at = size - 1; file && at > end; at -= kCorruptionStride) {
    file.seekg(at);
    const int byte = file.get();
    file.seekp(at);
    file.put(static_cast<char>(byte ^ kFlippedBit));
  }
}

}  // namespace

void EraseStore(const std::string& path) {
  std::error_code ignored;
  for (const char* suffix : kFileSuffixes) std::filesystem::remove(path + suffix, ignored);
}

void BackUpStore(const std::string& path) {
  std::error_code ignored;
  for (const char* suffix : kFileSuffixes)
    std::filesystem::copy_file(path + suffix, BackupOf(path, suffix),
                               std::filesystem::copy_options::overwrite_existing, ignored);
}

void RestoreStore(const std::string& path) {
  std::error_code ignored;
  for (const char* suffix : kFileSuffixes) {
    const std::string backup = BackupOf(path, suffix);
    std::filesystem::remove(path + suffix, ignored);
    if (std::filesystem::exists(backup)) std::filesystem::copy_file(backup, path + suffix, ignored);
  }
}

void CorruptStore(const std::string& path) {
  for (const char* suffix : {"", kWriteAheadLogSuffix}) FlipBits(path + suffix);
}

}  // namespace lemoncroft::fault_test
