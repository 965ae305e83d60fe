#include "proxy/voter_store.h"

#include <charconv>
#include <sstream>
#include <string>
#include <utility>

#include "raft/codec.h"

namespace lemoncroft::proxy {

namespace {

std::string FormatBootstrapVoters(const replicated_config::BootstrapVoters& bootstrap_voters) {
  std::string out;
  for (const auto& [name, store_id] : bootstrap_voters) out += name + " " + std::to_string(store_id) + "\n";
  return out;
}

replicated_config::BootstrapVoters ParseBootstrapVoters(const std::string& text) {
  replicated_config::BootstrapVoters bootstrap_voters;
  std::istringstream in(text);
  std::string name;
  for (std::uint64_t store_id = 0; in >> name >> store_id;) bootstrap_voters[name] = store_id;
  return bootstrap_voters;
}

}  // namespace

storage::WriteBatch EncodeStoreId(std::uint64_t store_id) {
  storage::WriteBatch batch;
  batch.records.emplace_back(kRecordStoreId, std::to_string(store_id));
  return batch;
}

storage::WriteBatch EncodeBootstrapVoters(const replicated_config::BootstrapVoters& bootstrap_voters) {
  storage::WriteBatch batch;
  batch.records.emplace_back(kRecordBootstrapVoters, FormatBootstrapVoters(bootstrap_voters));
  return batch;
}

storage::WriteBatch EncodeUpdate(const raft::StorageUpdate& update) {
  storage::WriteBatch batch;
  batch.records.emplace_back(kRecordHardState, raft::Encode(update.hard_state));
  if (update.replaces_log) {
    batch.records.emplace_back(kRecordSnapshot, raft::Encode(update.snapshot));
    batch.compact_through = update.snapshot.index;
  }
  batch.truncate_after = update.replaces_log ? update.snapshot.index : update.truncate_after;
  for (const raft::Entry& entry : update.entries) batch.log.emplace_back(entry.index, raft::Encode(entry));
  return batch;
}

std::optional<replicated_config::StoredState> DecodeStore(const storage::StoreContents& contents) {
  replicated_config::StoredState out;
  const auto record = [&](const char* name) -> std::string {
    const auto it = contents.records.find(name);
    return it == contents.records.end() ? std::string() : it->second;
  };
  const std::string store_id = record(kRecordStoreId);
  const std::string hard_state = record(kRecordHardState);
  const std::string snapshot = record(kRecordSnapshot);
  std::from_chars(store_id.data(), store_id.data() + store_id.size(), out.store_id);
  out.bootstrap_voters = ParseBootstrapVoters(record(kRecordBootstrapVoters));
  if (!hard_state.empty()) {
    const auto decoded = raft::DecodeHardState(hard_state);
    if (!decoded) return std::nullopt;
    out.persistent_state.hard_state = *decoded;
  }
  if (!snapshot.empty()) {
    auto decoded = raft::DecodeSnapshot(snapshot);
    if (!decoded) return std::nullopt;
    out.persistent_state.snapshot = std::move(*decoded);
  }
  for (const auto& [index, bytes] : contents.log) {
    auto entry = raft::DecodeEntry(bytes);
    const raft::Index previous_index = out.persistent_state.log.empty()
                                           ? out.persistent_state.snapshot.index
                                           : out.persistent_state.log.back().index;
    if (!entry || entry->index != index || index != previous_index + 1) return std::nullopt;
    out.persistent_state.log.push_back(std::move(*entry));
  }
  return out;
}

}  // namespace lemoncroft::proxy
