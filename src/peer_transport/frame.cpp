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
static_assert(gossip::kExchangeBytesMost + (std::size_t{16} << 10) < kStreamMost,
              "beside its sender and sums");

constexpr codec::MsgpackBounds kBounds{16384, 256, kStreamMost, 8};

// The kinds of messages and bodies on the wire: never renumbered.
enum class Kind : std::uint8_t { kDatagram = 0, kOpening = 1, kEntries = 2, kParcel = 3 };

void Pack(Packer& to, const Record& r) {
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

void Pack(Packer& to, const std::vector<News>& all) {
  to.pack_array(static_cast<std::uint32_t>(all.size()));
  for (const News& news : all) {
    const bool whole = news.status == Status::kAlive;
    to.pack_array(whole ? 2 : 4);
    to.pack(static_cast<std::uint8_t>(news.status));
    if (whole) {
      Pack(to, news.record);
    } else {
      to.pack(news.record.id);
      to.pack(news.record.incarnation);
      to.pack(news.from);
    }
  }
}

void Pack(Packer& to, const Sums& sums) {
  to.pack_array(kBuckets);
  for (const std::uint64_t sum : sums) to.pack(sum);
}

void Pack(Packer& to, const Body& body) {
  to.pack_array(5);
  to.pack(static_cast<std::uint8_t>(body.index()));
  std::uint32_t number = 0;
  InstanceId id = kNobody;
  Endpoint address;
  std::visit(
      [&](const auto& b) {
        using B = std::decay_t<decltype(b)>;
        if constexpr (!std::is_same_v<B, Gossip>) number = b.number;
        if constexpr (std::is_same_v<B, Ping> || std::is_same_v<B, PingRequest>) id = b.target;
        if constexpr (std::is_same_v<B, Ack>) id = b.of;
        if constexpr (std::is_same_v<B, PingRequest>) address = b.address;
      },
      body);
  to.pack(number);
  to.pack(id);
  to.pack(address.host);
  to.pack(address.port);
}

Record ReadRecord(const Object& from) {
  Reader in(from);
  Record r;
  r.id = in.Take<std::uint64_t>();
  r.name = in.Take<std::string>();
  r.address.host = in.Take<std::uint32_t>();
  r.address.port = in.Take<std::uint16_t>();
  r.zone = in.Take<std::string>();
  r.phase = in.Enum(Phase::kEnding);
  r.generation = in.Take<std::uint32_t>();
  r.incarnation = in.Take<std::uint64_t>();
  Reader attributes(in.Next());
  if (attributes.left() > 2 * kAttributesMost || attributes.left() % 2 != 0) throw msgpack::type_error();
  while (attributes.left() > 0) {
    Attribute a;
    a.key = attributes.Take<std::string>();
    a.value = attributes.Take<std::string>();
    r.attributes.push_back(std::move(a));
  }
  return r;
}

std::vector<News> ReadNews(const Object& from) {
  Reader in(from);
  std::vector<News> all;
  while (in.left() > 0) {
    Reader one(in.Next());
    News news;
    news.status = one.Enum(Status::kLeft);
    if (news.status == Status::kAlive) {
      news.record = ReadRecord(one.Next());
    } else {
      news.record.id = one.Take<std::uint64_t>();
      news.record.incarnation = one.Take<std::uint64_t>();
      news.from = one.Take<std::uint64_t>();
    }
    all.push_back(std::move(news));
  }
  return all;
}

Sums ReadSums(const Object& from) {
  Reader in(from);
  Sums sums{};
  for (std::uint64_t& sum : sums) sum = in.Take<std::uint64_t>();
  return sums;
}

Body ReadBody(const Object& from) {
  Reader in(from);
  const auto kind = in.Take<std::uint8_t>();
  const auto number = in.Take<std::uint32_t>();
  const auto id = in.Take<std::uint64_t>();
  Endpoint address;
  address.host = in.Take<std::uint32_t>();
  address.port = in.Take<std::uint16_t>();
  switch (kind) {
    case 0:
      return Ping{number, id};
    case 1:
      return PingRequest{number, id, address};
    case 2:
      return Ack{number, id};
    case 3:
      return Nack{number};
    case 4:
      return Stranger{number};
    case 5:
      return Gossip{};
    default:
      throw msgpack::type_error();
  }
}

}  // namespace

const char* NameOf(Fault fault) {
  constexpr const char* kNames[kFaults] = {"cut", "too long", "garbled", "version", "foreign", "malformed"};
  return kNames[static_cast<std::size_t>(fault)];
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
    Pack(to, d->news);
  } else if (const auto* opening = std::get_if<Opening>(&message)) {
    Pack(to, opening->sender);
    Pack(to, opening->sums);
    to.pack_array(0);
  } else if (const auto* entries = std::get_if<Entries>(&message)) {
    Pack(to, entries->sender);
    Pack(to, entries->sums);
    Pack(to, entries->entries);
  } else if (const auto* parcel = std::get_if<Parcel>(&message)) {
    to.pack(parcel->from);
    to.pack(static_cast<std::uint8_t>(parcel->part));
    codec::PackBytes(to, parcel->bytes);
  }
  std::string frame(kMagic, sizeof kMagic);
  frame.push_back(static_cast<char>(kMajor));
  frame.push_back(static_cast<char>(kMinor));
  const std::uint64_t sum = XXH3_64bits(body.data(), body.size());
  for (int shift = 0; shift < 64; shift += 8) frame.push_back(static_cast<char>(sum >> shift & 0xff));
  frame.append(body.data(), body.size());
  return frame;
}

std::variant<Message, Fault> Decode(std::string_view fleet, std::string_view frame, std::size_t most) {
  if (frame.size() > most) return Fault::kTooLong;
  if (frame.size() <= kHeadBytes) return Fault::kCut;
  if (std::memcmp(frame.data(), kMagic, sizeof kMagic) != 0) return Fault::kGarbled;
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < 8; ++i) sum |= std::uint64_t{static_cast<std::uint8_t>(frame[4 + i])} << 8 * i;
  const std::string_view body = frame.substr(kHeadBytes);
  if (sum != XXH3_64bits(body.data(), body.size())) return Fault::kGarbled;
  if (static_cast<std::uint8_t>(frame[2]) != kMajor) return Fault::kVersion;
  const auto read = codec::Guarded(body, kBounds, [&](Reader& in) -> std::variant<Message, Fault> {
    if (in.Take<std::string>() != fleet) return Fault::kForeign;
    switch (in.Enum(Kind::kParcel)) {
      case Kind::kDatagram: {
        Datagram d;
        d.sender = ReadRecord(in.Next());
        d.digest = in.Take<std::uint64_t>();
        d.body = ReadBody(in.Next());
        d.news = ReadNews(in.Next());
        return Message(std::move(d));
      }
      case Kind::kOpening: {
        Opening opening;
        opening.sender = ReadRecord(in.Next());
        opening.sums = ReadSums(in.Next());
        return Message(std::move(opening));
      }
      case Kind::kEntries: {
        Entries entries;
        entries.sender = ReadRecord(in.Next());
        entries.sums = ReadSums(in.Next());
        entries.entries = ReadNews(in.Next());
        return Message(std::move(entries));
      }
      case Kind::kParcel: {
        Parcel parcel;
        parcel.from = in.Take<std::uint64_t>();
        parcel.part = in.Enum(Part::kLists);
        parcel.bytes = in.Bytes();
        return Message(std::move(parcel));
      }
    }
    return Fault::kMalformed;
  });
  return read.value_or(Fault::kMalformed);
}

}  // namespace lemoncroft::peer_transport
