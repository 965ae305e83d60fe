// MessagePack encoding of Raft messages, for the network, and of the persistent state, for the store.
//
// Each value is an array of its fields. Later versions may append fields; decoders ignore fields that they
// don't know. Decoding returns nullopt if the bytes are malformed, incomplete or exceed a limit.
#ifndef LEMONCROFT_RAFT_CODEC_H_
#define LEMONCROFT_RAFT_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "raft/types.h"

namespace lemoncroft::raft {

// The maximum size of each binary field that is decoded, such as the data of a snapshot.
inline constexpr std::size_t kMaxSnapshotBytes = std::size_t{960} << 10;

std::string Encode(const Message& message);
std::string Encode(const Entry& entry);
std::string Encode(const HardState& hard_state);
std::string Encode(const Snapshot& snapshot);

[[nodiscard]] std::optional<Message> DecodeMessage(std::string_view bytes);
[[nodiscard]] std::optional<Entry> DecodeEntry(std::string_view bytes);
[[nodiscard]] std::optional<HardState> DecodeHardState(std::string_view bytes);
[[nodiscard]] std::optional<Snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace lemoncroft::raft

#endif  // LEMONCROFT_RAFT_CODEC_H_
