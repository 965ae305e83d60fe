// Frames between proxies: magic, versions, a checksum, and the message in MessagePack.
//
// Contract. No I/O. What comes from a peer is unpacked under bounds on lengths, counts and depth; anything
// that isn't one whole message of this fleet and major version is a Fault, never an exception. Elements that
// a later minor version appends are passed over. Owner: none. Units: bytes. Source: docs/peers.md; the
// MessagePack specification; XXH3 (xxHash).
#ifndef LEMONCROFT_PEER_TRANSPORT_FRAME_H_
#define LEMONCROFT_PEER_TRANSPORT_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "gossip/types.h"

namespace lemoncroft::peer_transport {

enum class FrameError : std::uint8_t {
  kTruncated,
  kTooLong,
  kCorrupt,
  kVersionMismatch,
  kWrongFleet,
  kMalformed
};
inline constexpr std::size_t kFrameErrorCount = 6;
const char* NameOf(FrameError fault);

inline constexpr std::uint8_t kMajorVersion = 1, kMinorVersion = 0;
inline constexpr std::size_t kHeaderBytes = 12;                              // magic, versions, checksum
inline constexpr std::size_t kMaxStreamMessageBytes = std::size_t{1} << 20;  // of one message of a stream
inline constexpr std::size_t kMaxFleetNameBytes = 48;                        // of the fleet's name

// Which part of the program a parcel is for: never renumbered.
enum class Subsystem : std::uint8_t {
  kReplicatedConfig = 0,  // notes of the rules (rules/notes.h)
  kOperatorCall = 1,      // an operator's call; what comes back on the same stream is its answer
  kEndpointLists = 2,     // what proxies know of the lists of engines
};
// Bytes of another part of the program, which the view carries for it.
struct AppMessage {
  gossip::InstanceId sender = gossip::kNoInstance;
  Subsystem subsystem = Subsystem::kReplicatedConfig;
  std::string bytes;
};

using Message = std::variant<gossip::Datagram, gossip::SyncRequest, gossip::SyncEntries, AppMessage>;

std::string Encode(std::string_view fleet, const Message& message);
std::variant<Message, FrameError> Decode(std::string_view fleet, std::string_view frame,
                                         std::size_t max_bytes);

}  // namespace lemoncroft::peer_transport

#endif  // LEMONCROFT_PEER_TRANSPORT_FRAME_H_
