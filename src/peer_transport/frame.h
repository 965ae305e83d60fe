// Frames between proxies: magic, versions, a checksum, and the message in MessagePack.
//
// Contract. No I/O. What comes from a peer is unpacked under bounds on lengths, counts and depth; anything
// that isn't one whole message of this fleet and major version is a Fault, never an exception. Elements that
// a later minor version appends are passed over. Owner: none. Units: bytes. Source: docs/peers.md; the
// MessagePack specification; XXH3 (xxHash).
#ifndef LEMONCROFT_PEERLINK_FRAME_H_
#define LEMONCROFT_PEERLINK_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "gossip/types.h"

namespace lemoncroft::peer_transport {

enum class Fault : std::uint8_t { kCut, kTooLong, kGarbled, kVersion, kForeign, kMalformed };
inline constexpr std::size_t kFaults = 6;
const char* NameOf(Fault fault);

inline constexpr std::uint8_t kMajor = 1, kMinor = 0;
inline constexpr std::size_t kHeadBytes = 12;                     // magic, versions, checksum
inline constexpr std::size_t kStreamMost = std::size_t{1} << 20;  // of one message of a stream
inline constexpr std::size_t kFleetMost = 48;                     // of the fleet's name

// Which part of the program a parcel is for: never renumbered.
enum class Part : std::uint8_t {
  kRules = 0,  // notes of the rules (rules/notes.h)
  kCall = 1,   // an operator's call; what comes back on the same stream is its answer
  kLists = 2,  // what proxies know of the lists of engines
};
// Bytes of another part of the program, which the view carries for it.
struct Parcel {
  gossip::InstanceId from = gossip::kNobody;
  Part part = Part::kRules;
  std::string bytes;
};

using Message = std::variant<gossip::Datagram, gossip::Opening, gossip::Entries, Parcel>;

std::string Encode(std::string_view fleet, const Message& message);
std::variant<Message, Fault> Decode(std::string_view fleet, std::string_view frame, std::size_t most);

}  // namespace lemoncroft::peer_transport

#endif  // LEMONCROFT_PEERLINK_FRAME_H_
