// Converts the state that a ConfigReplica persists to records and log entries of a storage::Database, and
// back.
//
// These are pure functions. The names of the records and the bytes are the format of stored data.
#ifndef LEMONCROFT_PROXY_VOTER_STORE_H_
#define LEMONCROFT_PROXY_VOTER_STORE_H_

#include <cstdint>
#include <optional>

#include "raft/types.h"
#include "replicated_config/config_replica.h"
#include "storage/database.h"

namespace lemoncroft::proxy {

// The names of the records in a voter's store; its log is the Raft log.
inline constexpr const char* kRecordStoreId = "store";
inline constexpr const char* kRecordBootstrapVoters = "founders";  // a line "NAME STORE_ID" for each
inline constexpr const char* kRecordHardState = "promise";
inline constexpr const char* kRecordSnapshot = "snapshot";

storage::WriteBatch EncodeStoreId(std::uint64_t store_id);
storage::WriteBatch EncodeBootstrapVoters(const replicated_config::BootstrapVoters& bootstrap_voters);
storage::WriteBatch EncodeUpdate(const raft::StorageUpdate& update);

// Returns nullopt for contents that are not in this program's format.
[[nodiscard]] std::optional<replicated_config::StoredState> DecodeStore(
    const storage::StoreContents& contents);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_VOTER_STORE_H_
