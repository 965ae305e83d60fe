// Values of the membership protocol: member records, updates, datagrams and state sync messages.
//
// Plain values without I/O or a clock. Lengths are not enforced by the types; a receiver checks records from
// the network with IsWithinLimits. Times belong to the local monotonic clock and are never sent.
// docs/gossip.md describes the protocol and the precedence of updates.
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

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
inline constexpr Time kNever = Time::max();

// Identifies one process: 64 random bits drawn at its start, never reused.
using InstanceId = std::uint64_t;
inline constexpr InstanceId kNoInstance = 0;

// Limits of a member record.
inline constexpr std::size_t kMaxNameBytes = 64, kMaxZoneBytes = 32;
inline constexpr std::size_t kMaxAttributes = 8, kMaxAttributeKeyBytes = 32, kMaxAttributeValueBytes = 64;
// Maximum advance of an incarnation by one message. Without the limit, a single forged message could use up
// the incarnations that remain for refutations.
inline constexpr std::uint64_t kMaxIncarnationJump = std::uint64_t{1} << 20;
inline constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 60;
// Maximum size of a datagram, including its framing.
inline constexpr std::size_t kMaxDatagramBytes = 1400;
// Maximum size of the entries in one state sync message. Further differences are left to the next sync.
inline constexpr std::size_t kMaxSyncBytes = std::size_t{768} << 10;

// An IPv4 address and port in host byte order. A default-constructed PeerAddress means "none".
struct PeerAddress {
  std::uint32_t host = 0;
  std::uint16_t port = 0;
  bool operator==(const PeerAddress&) const = default;
  bool operator<(const PeerAddress& other) const {
    return std::tie(host, port) < std::tie(other.host, other.port);
  }
  explicit operator bool() const { return port != 0; }
};

// The stage of its life cycle that a process announces.
enum class Phase : std::uint8_t { kStarting, kServing, kDraining };

// A key and value that an instance publishes about itself.
struct Attribute {
  std::string key, value;
  bool operator==(const Attribute&) const = default;
};

// What an instance announces about itself. Only the instance changes it, each time with a higher incarnation.
struct MemberRecord {
  InstanceId id = kNoInstance;
  std::string name;
  PeerAddress address;  // the advertised address
  std::string zone;
  Phase phase = Phase::kStarting;
  std::uint32_t generation = 1;  // of the processes with this name; a later process has a higher one
  std::uint64_t incarnation = 1;
  std::vector<Attribute> attributes;
  bool operator==(const MemberRecord&) const = default;
};

// Checks a record from the network against the limits above.
[[nodiscard]] bool IsWithinLimits(const MemberRecord& record);

// A member's state in the local view.
enum class Status : std::uint8_t { kAlive, kSuspect, kFailed, kLeft };

// A gossiped change of one member's state. With kAlive the complete record is valid, otherwise only its id
// and incarnation.
struct MemberUpdate {
  Status status = Status::kAlive;
  MemberRecord record;
  InstanceId reported_by = kNoInstance;  // the instance that suspects the member or declared it failed
};

// Returns an update with a status other than kAlive.
[[nodiscard]] MemberUpdate NonAliveUpdate(Status status, InstanceId id, std::uint64_t incarnation,
                                          InstanceId reported_by);

// Upper bounds of the encoded sizes in bytes.
std::size_t MaxEncodedSize(const MemberRecord& record);
std::size_t MaxEncodedSize(const MemberUpdate& update);

// A direct probe.
struct Ping {
  std::uint32_t sequence = 0;
  InstanceId target = kNoInstance;  // kNoInstance: any instance at the address
};
// Asks the receiver to probe `target` on behalf of the sender (SWIM's ping-req).
struct PingRequest {
  std::uint32_t sequence = 0;
  InstanceId target = kNoInstance;
  PeerAddress address;
};
// Answers Ping and PingRequest.
struct Ack {
  std::uint32_t sequence = 0;
  InstanceId target = kNoInstance;  // the instance that answered: the sender, or the target of a PingRequest
};
// Answers a PingRequest whose target did not answer in time. It shows that the relaying member is reachable
// (Lifeguard).
struct Nack {
  std::uint32_t sequence = 0;
};
// Answers a Ping whose target is not the instance at this address.
struct WrongTarget {
  std::uint32_t sequence = 0;
};
// A datagram that only carries updates.
struct Gossip {};

using DatagramBody = std::variant<Ping, PingRequest, Ack, Nack, WrongTarget, Gossip>;

// One message of the failure detector, with updates piggybacked on it.
struct Datagram {
  MemberRecord sender;
  std::uint64_t digest = 0;  // of the members that are live in the sender's view; 0: not given
  DatagramBody body;
  std::vector<MemberUpdate> updates;
};

// State sync (anti-entropy) over a stream: the initiator sends a SyncRequest, the responder answers with
// SyncEntries, and the initiator closes with SyncEntries of its own.

inline constexpr std::size_t kDigestBuckets = 32;
// Sums of the hashes of the live members, by id modulo kDigestBuckets. Equal sums mean equal buckets.
using BucketSums = std::array<std::uint64_t, kDigestBuckets>;

// Opens a state sync.
struct SyncRequest {
  MemberRecord sender;
  BucketSums bucket_sums{};
};
// Answers a SyncRequest, or closes the state sync.
struct SyncEntries {
  MemberRecord sender;
  BucketSums bucket_sums{};
  std::vector<MemberUpdate> entries;  // members of the buckets whose sums differ
};

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_GOSSIP_TYPES_H_
