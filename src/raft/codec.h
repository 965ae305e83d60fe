// The log's messages and entries as MessagePack: for the way between voters, and for the store.
//
// Contract. No I/O. What is read is bounded; anything that isn't whole and well formed is nothing. Elements
// that a later version appends are passed over. Owner: none. Source: docs/agreement.md.
#ifndef LEMONCROFT_RAFT_CODEC_H_
#define LEMONCROFT_RAFT_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "raft/types.h"

namespace lemoncroft::raft {

inline constexpr std::size_t kMaxSnapshotBytes = std::size_t{960} << 10;

std::string Encode(const Message& message);
std::optional<Message> DecodeMessage(std::string_view bytes);

std::string Encode(const Entry& entry);
std::optional<Entry> DecodeEntry(std::string_view bytes);
std::string Encode(const HardState& hard_state);
std::optional<HardState> DecodeHardState(std::string_view bytes);
std::string Encode(const Snapshot& snapshot);
std::optional<Snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace lemoncroft::raft

#endif  // LEMONCROFT_RAFT_CODEC_H_
