// What proxies tell each other of themselves and of others: records, news, messages.
//
// Contract. Plain values, no I/O, no clock; docs/peers.md tells what they mean and which of two wins. Lengths
// are checked by whoever takes them from a peer (Fits); times are of the caller's monotonic clock and never
// cross the wire. Owner: none. Errors: none.
// Source: SWIM (Das, Gupta, Motivala, DSN 2002); Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018).
#ifndef LEMONCROFT_GOSSIP_TYPES_H_
#define LEMONCROFT_GOSSIP_TYPES_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace lemoncroft::gossip {

using Span = std::chrono::nanoseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Span>;
inline constexpr Time kNever = Time::max();

// One process: drawn at its start, never again.
using InstanceId = std::uint64_t;
inline constexpr InstanceId kNoInstance = 0;

// Bounds on what a record may hold, in bytes and in number.
inline constexpr std::size_t kMaxNameBytes = 64, kMaxZoneBytes = 32;
inline constexpr std::size_t kMaxAttributes = 8, kMaxAttributeKeyBytes = 32, kMaxAttributeValueBytes = 64;
// How far one message may move an incarnation, so that a lie can't use the numbers up.
inline constexpr std::uint64_t kMaxIncarnationJump = std::uint64_t{1} << 20;
inline constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 60;
// Bytes of one datagram, its frame included.
inline constexpr std::size_t kMaxDatagramBytes = 1400;
// Bytes of entries in one message of an exchange; what differs beyond that is told in the next one.
inline constexpr std::size_t kMaxSyncBytes = std::size_t{768} << 10;

// IPv4, in the host's byte order.
struct Endpoint {
  std::uint32_t host = 0;
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
  bool operator<(const Endpoint& other) const {
    return std::tie(host, port) < std::tie(other.host, other.port);
  }
  explicit operator bool() const { return port != 0; }
};

enum class Phase : std::uint8_t { kStarting, kServing, kDraining };

struct Attribute {
  std::string key, value;
  bool operator==(const Attribute&) const = default;
};

// What an instance says of itself; each change has a higher incarnation.
struct MemberRecord {
  InstanceId id = kNoInstance;
  std::string name;
  Endpoint address;  // as advertised
  std::string zone;
  Phase phase = Phase::kStarting;
  std::uint32_t generation = 1;  // of the processes of this name, the newest has the highest
  std::uint64_t incarnation = 1;
  std::vector<Attribute> attributes;
  bool operator==(const MemberRecord&) const = default;
};

// Whether a record that a peer sent keeps the bounds.
bool IsWithinLimits(const MemberRecord& record);

enum class Status : std::uint8_t { kAlive, kSuspect, kFailed, kLeft };

// Of kAlive the record is whole; of the others only its id and incarnation count.
struct MemberUpdate {
  Status status = Status::kAlive;
  MemberRecord record;
  InstanceId reported_by = kNoInstance;  // who suspects, or who saw it fail
};

// At the most so many bytes on the wire.
std::size_t MaxEncodedSize(const MemberRecord& record);
std::size_t MaxEncodedSize(const MemberUpdate& update);

struct Ping {
  std::uint32_t sequence = 0;
  InstanceId target = kNoInstance;  // kNobody: whoever is at the address
};
// Please ping it for me.
struct PingRequest {
  std::uint32_t sequence = 0;
  InstanceId target = kNoInstance;
  Endpoint address;
};
struct Ack {
  std::uint32_t sequence = 0;
  InstanceId target = kNoInstance;  // who was reached: the sender, or whom it pinged for the receiver
};
// Whom you asked for has not answered me in time; but I have answered you.
struct Nack {
  std::uint32_t sequence = 0;
};
// The address that you pinged is mine; whom you look for is not here.
struct WrongTarget {
  std::uint32_t sequence = 0;
};
struct Gossip {};

using DatagramBody = std::variant<Ping, PingRequest, Ack, Nack, WrongTarget, Gossip>;

struct Datagram {
  MemberRecord sender;
  std::uint64_t digest = 0;  // of whom the sender holds alive
  DatagramBody body;
  std::vector<MemberUpdate> updates;
};

// ---- Exchanges over a stream: the opener's sums, the answerer's sums and entries, the opener's entries ----

inline constexpr std::size_t kDigestBuckets = 32;
using BucketSums = std::array<std::uint64_t, kDigestBuckets>;

struct SyncRequest {
  MemberRecord sender;
  BucketSums bucket_sums{};
};
struct SyncEntries {
  MemberRecord sender;
  BucketSums bucket_sums{};
  std::vector<MemberUpdate> entries;  // of the buckets that differ
};

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_GOSSIP_TYPES_H_
