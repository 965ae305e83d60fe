#include "raft/codec.h"

#include "codec/msgpack_fields.h"

namespace lemoncroft::raft {

using codec::MaybeConst;
using codec::MsgpackPacker;
using codec::MsgpackReader;

// codec::FieldReader rejects enum values above this one.
EntryKind LastOf(EntryKind) { return EntryKind::kVoters; }

namespace {

// In order: elements per array, bytes per text, bytes per binary field, and depth of nesting.
constexpr codec::MsgpackLimits kDecodingLimits{4096, 128, kMaxSnapshotBytes, 8};

// The encoded fields of each type, in order. New fields may only be appended.

template <typename V, MaybeConst<Entry> E>
void VisitFields(V& v, E& e) {
  v(e.term), v(e.index), v(e.kind), v(e.data), v(e.voters);
}
template <typename V, MaybeConst<Snapshot> E>
void VisitFields(V& v, E& e) {
  v(e.index), v(e.term), v(e.voters), v(e.data);
}
template <typename V, MaybeConst<HardState> E>
void VisitFields(V& v, E& e) {
  v(e.term), v(e.voted_for);
}
template <typename V, MaybeConst<VoteRequest> E>
void VisitFields(V& v, E& e) {
  v(e.pre_vote), v(e.leadership_transfer), v(e.term), v(e.last_index), v(e.last_term);
}
template <typename V, MaybeConst<VoteResponse> E>
void VisitFields(V& v, E& e) {
  v(e.pre_vote), v(e.term), v(e.granted);
}
template <typename V, MaybeConst<AppendEntriesRequest> E>
void VisitFields(V& v, E& e) {
  v(e.term), v(e.heartbeat_round), v(e.prev_index), v(e.prev_term), v(e.leader_commit),
      v(e.leader_durable_index), v(e.entries);
}
template <typename V, MaybeConst<AppendEntriesResponse> E>
void VisitFields(V& v, E& e) {
  v(e.term), v(e.heartbeat_round), v(e.success), v(e.match_index);
}
template <typename V, MaybeConst<InstallSnapshotRequest> E>
void VisitFields(V& v, E& e) {
  v(e.term), v(e.heartbeat_round), v(e.snapshot);
}
template <typename V, MaybeConst<TimeoutNowRequest> E>
void VisitFields(V& v, E& e) {
  v(e.term);
}

struct ValuePacker : codec::FieldPacker {
  using FieldPacker::operator();
  void operator()(const std::vector<Entry>& entries) {
    to.pack_array(static_cast<std::uint32_t>(entries.size()));
    for (const Entry& entry : entries) PackValue(entry);
  }
  void operator()(const Snapshot& snapshot) { PackValue(snapshot); }
  template <typename T>
  void PackValue(const T& value) {
    codec::FieldCounter counter;
    VisitFields(counter, value);
    to.pack_array(counter.count);
    VisitFields(*this, value);
  }
};

struct ValueReader : codec::FieldReader {
  using FieldReader::operator();
  void operator()(std::vector<Entry>& entries) {
    MsgpackReader elements(in.Next());
    while (elements.left() > 0) ReadValue(elements.Next(), entries.emplace_back());
  }
  void operator()(Snapshot& snapshot) { ReadValue(in.Next(), snapshot); }
  template <typename T>
  static void ReadValue(const msgpack::object& from, T& value) {
    MsgpackReader elements(from);
    ValueReader reader{{elements}};
    VisitFields(reader, value);
  }
};

template <typename T>
std::string EncodeValue(const T& value) {
  msgpack::sbuffer body;
  MsgpackPacker to(body);
  ValuePacker{{to}}.PackValue(value);
  return {body.data(), body.size()};
}

template <typename T>
std::optional<T> DecodeValue(std::string_view bytes) {
  return codec::UnpackArray(bytes, kDecodingLimits, [](MsgpackReader& in) {
    T value;
    ValueReader reader{{in}};
    VisitFields(reader, value);
    return value;
  });
}

}  // namespace

std::string Encode(const Message& message) {
  msgpack::sbuffer body;
  MsgpackPacker to(body);
  to.pack_array(2);
  to.pack(static_cast<std::uint8_t>(message.index()));
  std::visit([&](const auto& m) { ValuePacker{{to}}.PackValue(m); }, message);
  return {body.data(), body.size()};
}

std::optional<Message> DecodeMessage(std::string_view bytes) {
  return codec::UnpackArray(bytes, kDecodingLimits, [](MsgpackReader& in) {
    const auto index = in.Take<std::uint8_t>();
    MsgpackReader body(in.Next());
    return codec::ReadAlternative<ValueReader, Message>(index, body);
  });
}

std::string Encode(const Entry& entry) { return EncodeValue(entry); }
std::optional<Entry> DecodeEntry(std::string_view bytes) { return DecodeValue<Entry>(bytes); }
std::string Encode(const HardState& hard_state) { return EncodeValue(hard_state); }
std::optional<HardState> DecodeHardState(std::string_view bytes) { return DecodeValue<HardState>(bytes); }
std::string Encode(const Snapshot& snapshot) { return EncodeValue(snapshot); }
std::optional<Snapshot> DecodeSnapshot(std::string_view bytes) { return DecodeValue<Snapshot>(bytes); }

}  // namespace lemoncroft::raft
