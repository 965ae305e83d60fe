// Maps what a ConfigReplica persists to records and log entries of a storage::Database.
//
// Contract. Pure functions; the names and bytes are the stored format. Errors: DecodeStore returns nullopt.
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
inline constexpr const char* kRecordBootstrapVoters = "founders";  // a line "NAME STORE" for each
inline constexpr const char* kRecordHardState = "promise";
inline constexpr const char* kRecordSnapshot = "snapshot";

storage::WriteBatch EncodeStoreId(std::uint64_t store_id);
storage::WriteBatch EncodeBootstrapVoters(const replicated_config::BootstrapVoters& bootstrap_voters);
storage::WriteBatch EncodeUpdate(const raft::StorageUpdate& update);

// Returns nullopt for contents that this program did not write.
[[nodiscard]] std::optional<replicated_config::StoredState> DecodeStore(
    const storage::StoreContents& contents);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_VOTER_STORE_H_
