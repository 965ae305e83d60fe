// Maps what a ConfigReplica persists to records and log entries of a storage::Database: the records "store",
// "founders", "promise" and "snapshot", and the Raft log.
//
// Contract: pure functions; the names and bytes are the stored format.
#ifndef LEMONCROFT_PROXY_VOTER_STORE_H_
#define LEMONCROFT_PROXY_VOTER_STORE_H_

#include <cstdint>
#include <optional>

#include "raft/types.h"
#include "replicated_config/config_replica.h"
#include "storage/database.h"

namespace lemoncroft::proxy {

storage::WriteBatch EncodeStoreId(std::uint64_t store);
storage::WriteBatch EncodeBootstrapVoters(const replicated_config::BootstrapVoters& bootstrap_voters);
storage::WriteBatch EncodeUpdate(const raft::StorageUpdate& update);

// Returns nullopt for contents that this program did not write.
[[nodiscard]] std::optional<replicated_config::StoredState> DecodeStore(
    const storage::StoreContents& contents);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_VOTER_STORE_H_
