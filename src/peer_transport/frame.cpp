#include "peer_transport/frame.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>
#include <type_traits>

#include "codec/msgpack_reader.h"

namespace lemoncroft::peer_transport {
namespace {

using namespace gossip;
using Packer = msgpack::packer<msgpack::sbuffer>;
using Object = msgpack::object;
using Reader = codec::MsgpackReader;

constexpr char kMagic[] = {'L', 'C'};
static_assert(gossip::kMaxSyncBytes + (std::size_t{16} << 10) < kMaxStreamMessageBytes,
              "a stream message needs space for the sender and the bucket sums");

// Limits on the elements of an array, the bytes of a text, the bytes of binary data, and the nesting.
constexpr codec::MsgpackLimits kMsgpackLimits{16384, 256, kMaxStreamMessageBytes, 8};

// Message kinds. The values are part of the wire format and must not change.
enum class MessageKind : std::uint8_t { kDatagram = 0, kSyncRequest = 1, kSyncEntries = 2, kAppMessage = 3 };

void Pack(Packer& to, const MemberRecord& r) {
  to.pack_array(9);
  to.pack(r.id);
  to.pack(r.name);
  to.pack(r.address.host);
  to.pack(r.address.port);
  to.pack(r.zone);
  to.pack(static_cast<std::uint8_t>(r.phase));
  to.pack(r.generation);
  to.pack(r.incarnation);
  to.pack_array(static_cast<std::uint32_t>(2 * r.attributes.size()));
  for (const Attribute& a : r.attributes) {
    to.pack(a.key);
    to.pack(a.value);
  }
}

void Pack(Packer& to, const std::vector<MemberUpdate>& all) {
  to.pack_array(static_cast<std::uint32_t>(all.size()));
  for (const MemberUpdate& update : all) {
    const bool has_record = update.status == Status::kAlive;
    to.pack_array(has_record ? 2 : 4);
    to.pack(static_cast<std::uint8_t>(update.status));
    if (has_record) {
      Pack(to, update.record);
    } else {
      to.pack(update.record.id);
      to.pack(update.record.incarnation);
      to.pack(update.reported_by);
    }
  }
}

void Pack(Packer& to, const BucketSums& bucket_sums) {
  to.pack_array(kDigestBuckets);
  for (const std::uint64_t sum : bucket_sums) to.pack(sum);
}

void Pack(Packer& to, const DatagramBody& body) {
  to.pack_array(5);
  to.pack(static_cast<std::uint8_t>(body.index()));
  std::uint32_t sequence = 0;
  InstanceId id = kNoInstance;
  PeerAddress address;
  std::visit(
      [&](const auto& b) {
        using B = std::decay_t<decltype(b)>;
        if constexpr (!std::is_same_v<B, Gossip>) sequence = b.sequence;
        if constexpr (std::is_same_v<B, Ping> || std::is_same_v<B, PingRequest>) id = b.target;
        if constexpr (std::is_same_v<B, Ack>) id = b.target;
        if constexpr (std::is_same_v<B, PingRequest>) address = b.address;
      },
      body);
  to.pack(sequence);
  to.pack(id);
  to.pack(address.host);
  to.pack(address.port);
}

MemberRecord ReadRecord(const Object& from) {
  Reader in(from);
  MemberRecord r;
  r.id = in.Take<std::uint64_t>();
  r.name = in.Take<std::string>();
  r.address.host = in.Take<std::uint32_t>();
  r.address.port = in.Take<std::uint16_t>();
  r.zone = in.Take<std::string>();
  r.phase = in.Enum(Phase::kDraining);
  r.generation = in.Take<std::uint32_t>();
  r.incarnation = in.Take<std::uint64_t>();
  Reader attributes(in.Next());
  if (attributes.left() > 2 * kMaxAttributes || attributes.left() % 2 != 0) throw msgpack::type_error();
  while (attributes.left() > 0) {
    Attribute a;
    a.key = attributes.Take<std::string>();
    a.value = attributes.Take<std::string>();
    r.attributes.push_back(std::move(a));
  }
  return r;
}

std::vector<MemberUpdate> ReadUpdates(const Object& from) {
  Reader in(from);
  std::vector<MemberUpdate> all;
  while (in.left() > 0) {
    Reader fields(in.Next());
    MemberUpdate update;
    update.status = fields.Enum(Status::kLeft);
    if (update.status == Status::kAlive) {
      update.record = ReadRecord(fields.Next());
    } else {
      update.record.id = fields.Take<std::uint64_t>();
      update.record.incarnation = fields.Take<std::uint64_t>();
      update.reported_by = fields.Take<std::uint64_t>();
    }
    all.push_back(std::move(update));
  }
  return all;
}

BucketSums ReadBucketSums(const Object& from) {
  Reader in(from);
  BucketSums bucket_sums{};
  for (std::uint64_t& sum : bucket_sums) sum = in.Take<std::uint64_t>();
  return bucket_sums;
}

DatagramBody ReadBody(const Object& from) {
  Reader in(from);
  const auto kind = in.Take<std::uint8_t>();
  const auto sequence = in.Take<std::uint32_t>();
  const auto id = in.Take<std::uint64_t>();
  PeerAddress address;
  address.host = in.Take<std::uint32_t>();
  address.port = in.Take<std::uint16_t>();
  switch (kind) {
    case 0:
      return Ping{sequence, id};
    case 1:
      return PingRequest{sequence, id, address};
    case 2:
      return Ack{sequence, id};
    case 3:
      return Nack{sequence};
    case 4:
      return WrongTarget{sequence};
    case 5:
      return Gossip{};
    default:
      throw msgpack::type_error();
  }
}

}  // namespace

const char* NameOf(FrameError error) {
  constexpr const char* kNames[kFrameErrorCount] = {"cut",     "too long", "garbled",
                                                    "version", "foreign",  "malformed"};
  return kNames[static_cast<std::size_t>(error)];
}

std::string Encode(std::string_view fleet, const Message& message) {
  msgpack::sbuffer body;
  Packer to(body);
  to.pack_array(message.index() == 0 ? 6 : 5);
  to.pack_str(static_cast<std::uint32_t>(fleet.size()));
  to.pack_str_body(fleet.data(), static_cast<std::uint32_t>(fleet.size()));
  to.pack(static_cast<std::uint8_t>(message.index()));
  if (const auto* d = std::get_if<Datagram>(&message)) {
    Pack(to, d->sender);
    to.pack(d->digest);
    Pack(to, d->body);
    Pack(to, d->updates);
  } else if (const auto* request = std::get_if<SyncRequest>(&message)) {
    Pack(to, request->sender);
    Pack(to, request->bucket_sums);
    to.pack_array(0);
  } else if (const auto* entries = std::get_if<SyncEntries>(&message)) {
    Pack(to, entries->sender);
    Pack(to, entries->bucket_sums);
    Pack(to, entries->entries);
  } else if (const auto* app = std::get_if<AppMessage>(&message)) {
    to.pack(app->sender);
    to.pack(static_cast<std::uint8_t>(app->subsystem));
    codec::PackBytes(to, app->bytes);
  }
  std::string frame(kMagic, sizeof kMagic);
  frame.push_back(static_cast<char>(kMajorVersion));
  frame.push_back(static_cast<char>(kMinorVersion));
  const std::uint64_t sum = XXH3_64bits(body.data(), body.size());
  for (int shift = 0; shift < 64; shift += 8) frame.push_back(static_cast<char>(sum >> shift & 0xff));
  frame.append(body.data(), body.size());
  return frame;
}

tl::expected<Message, FrameError> Decode(std::string_view fleet, std::string_view frame,
                                         std::size_t max_bytes) {
  if (frame.size() > max_bytes) return tl::make_unexpected(FrameError::kTooLong);
  if (frame.size() <= kHeaderBytes) return tl::make_unexpected(FrameError::kTruncated);
  if (std::memcmp(frame.data(), kMagic, sizeof kMagic) != 0) return tl::make_unexpected(FrameError::kCorrupt);
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < 8; ++i) sum |= std::uint64_t{static_cast<std::uint8_t>(frame[4 + i])} << 8 * i;
  const std::string_view body = frame.substr(kHeaderBytes);
  if (sum != XXH3_64bits(body.data(), body.size())) return tl::make_unexpected(FrameError::kCorrupt);
  if (static_cast<std::uint8_t>(frame[2]) != kMajorVersion)
    return tl::make_unexpected(FrameError::kVersionMismatch);
  auto decoded =
      codec::UnpackArray(body, kMsgpackLimits, [&](Reader& in) -> tl::expected<Message, FrameError> {
        if (in.Take<std::string>() != fleet) return tl::make_unexpected(FrameError::kWrongFleet);
        switch (in.Enum(MessageKind::kAppMessage)) {
          case MessageKind::kDatagram: {
            Datagram d;
            d.sender = ReadRecord(in.Next());
            d.digest = in.Take<std::uint64_t>();
            d.body = ReadBody(in.Next());
            d.updates = ReadUpdates(in.Next());
            return Message(std::move(d));
          }
          case MessageKind::kSyncRequest: {
            SyncRequest request;
            request.sender = ReadRecord(in.Next());
            request.bucket_sums = ReadBucketSums(in.Next());
            return Message(std::move(request));
          }
          case MessageKind::kSyncEntries: {
            SyncEntries entries;
            entries.sender = ReadRecord(in.Next());
            entries.bucket_sums = ReadBucketSums(in.Next());
            entries.entries = ReadUpdates(in.Next());
            return Message(std::move(entries));
          }
          case MessageKind::kAppMessage: {
            AppMessage app;
            app.sender = in.Take<std::uint64_t>();
            app.subsystem = in.Enum(Subsystem::kEndpointLists);
            app.bytes = in.Bytes();
            return Message(std::move(app));
          }
        }
        return tl::make_unexpected(FrameError::kMalformed);
      });
  if (!decoded) return tl::make_unexpected(FrameError::kMalformed);
  return std::move(*decoded);
}

}  // namespace lemoncroft::peer_transport
