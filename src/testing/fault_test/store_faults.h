// Injects faults into a voter's store on disk. The process that uses the store must have ended. Files that
// do not exist are ignored.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_STORE_FAULTS_H_
#define LEMONCROFT_TESTING_FAULT_TEST_STORE_FAULTS_H_

#include <string>

namespace lemoncroft::fault_test {

// `path` is the database file; its write-ahead log and shared-memory file are in the same folder.
void EraseStore(const std::string& path);
void BackUpStore(const std::string& path);
// Replaces the store with the last backup.
void RestoreStore(const std::string& path);
// Flips bits of the newest records, in the database and in its write-ahead log.
void CorruptStore(const std::string& path);

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_STORE_FAULTS_H_
