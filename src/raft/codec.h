// MessagePack encoding of Raft's messages, for the network, and of its persistent state, for the store.
//
// Contract. No I/O. A value is an array of its fields; later versions may append fields, which decoding
// skips. Decoding returns nothing if the bytes are malformed, incomplete or above a limit. Owner: none.
// Units: bytes.
#ifndef LEMONCROFT_RAFT_CODEC_H_
#define LEMONCROFT_RAFT_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "raft/types.h"

namespace lemoncroft::raft {

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
