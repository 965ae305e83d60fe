// Framing of messages between proxies: magic bytes, versions, a checksum, and the message in MessagePack.
//
// No I/O, no state. Input from the network is unpacked under limits on lengths, counts and depth; anything
// that is not one complete message of this fleet and major version results in a FrameError, never in an
// exception.
// Elements that a later minor version appends are ignored. docs/gossip.md describes the format.
// Source: the MessagePack specification; XXH3 (xxHash).
#ifndef LEMONCROFT_PEER_TRANSPORT_FRAME_H_
#define LEMONCROFT_PEER_TRANSPORT_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

#include "gossip/types.h"

namespace lemoncroft::peer_transport {

// The reason for which a frame was not decoded.
enum class FrameError : std::uint8_t {
  kTruncated,        // no longer than a header
  kTooLong,          // longer than the caller accepts
  kCorrupt,          // wrong magic bytes or checksum
  kVersionMismatch,  // another major version
  kWrongFleet,       // the name of another fleet
  kMalformed         // the checksum is correct, but the body is not a valid message
};
inline constexpr std::size_t kFrameErrorCount = 6;
// Returns the error's name in logs and metrics: cut, too long, garbled, version, foreign, malformed.
const char* NameOf(FrameError error);

inline constexpr std::uint8_t kMajorVersion = 1, kMinorVersion = 0;
inline constexpr std::size_t kHeaderBytes = 12;  // magic bytes, versions, checksum
inline constexpr std::size_t kMaxStreamMessageBytes = std::size_t{1} << 20;  // of one message on a stream
inline constexpr std::size_t kMaxFleetNameBytes = 48;

// The subsystem that receives an AppMessage. The values are part of the wire format and must not change.
enum class Subsystem : std::uint8_t {
  kReplicatedConfig = 0,  // messages of the replicated configuration
  kOperatorCall = 1,      // a call of an operator; the response is sent on the same stream
  kEndpointLists = 2,     // reserved; no proxy sends it
};
// A message of a subsystem, opaque to this layer.
struct AppMessage {
  gossip::InstanceId sender = gossip::kNoInstance;
  Subsystem subsystem = Subsystem::kReplicatedConfig;
  std::string bytes;
};

using Message = std::variant<gossip::Datagram, gossip::SyncRequest, gossip::SyncEntries, AppMessage>;

// Encodes a message as a frame of this fleet.
std::string Encode(std::string_view fleet, const Message& message);
// Decodes a frame of at most `max_bytes`.
[[nodiscard]] tl::expected<Message, FrameError> Decode(std::string_view fleet, std::string_view frame,
                                                       std::size_t max_bytes);

}  // namespace lemoncroft::peer_transport

#endif  // LEMONCROFT_PEER_TRANSPORT_FRAME_H_
