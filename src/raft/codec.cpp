#include "raft/codec.h"

#include "codec/msgpack_fields.h"

namespace lemoncroft::raft {

using codec::MaybeConst;
using codec::MsgpackPacker;
using codec::MsgpackReader;

// For the generic reader, which rejects larger values.
EntryKind LastOf(EntryKind) { return EntryKind::kVoters; }

namespace {

constexpr codec::MsgpackLimits kBounds{4096, 128, kMaxSnapshotBytes, 8};

// The encoded fields of each type, in order. New ones are only ever appended.

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

struct Packing : codec::FieldPacker {
  using FieldPacker::operator();
  void operator()(const std::vector<Entry>& entries) {
    to.pack_array(static_cast<std::uint32_t>(entries.size()));
    for (const Entry& entry : entries) PackValue(entry);
  }
  void operator()(const Snapshot& snapshot) { PackValue(snapshot); }
  template <typename T>
  void PackValue(const T& value) {
    codec::FieldCounter counting;
    VisitFields(counting, value);
    to.pack_array(counting.count);
    VisitFields(*this, value);
  }
};

struct Reading : codec::FieldReader {
  using FieldReader::operator();
  void operator()(std::vector<Entry>& entries) {
    MsgpackReader all(in.Next());
    while (all.left() > 0) ReadValue(all.Next(), entries.emplace_back());
  }
  void operator()(Snapshot& snapshot) { ReadValue(in.Next(), snapshot); }
  template <typename T>
  static void ReadValue(const msgpack::object& from, T& value) {
    MsgpackReader one(from);
    Reading each{{one}};
    VisitFields(each, value);
  }
};

template <typename T>
std::string EncodeValue(const T& value) {
  msgpack::sbuffer body;
  MsgpackPacker to(body);
  Packing{{to}}.PackValue(value);
  return {body.data(), body.size()};
}

template <typename T>
std::optional<T> DecodeValue(std::string_view bytes) {
  return codec::UnpackArray(bytes, kBounds, [](MsgpackReader& in) {
    T value;
    Reading reading{{in}};
    VisitFields(reading, value);
    return value;
  });
}

}  // namespace

std::string Encode(const Message& message) {
  msgpack::sbuffer body;
  MsgpackPacker to(body);
  to.pack_array(2);
  to.pack(static_cast<std::uint8_t>(message.index()));
  std::visit([&](const auto& m) { Packing{{to}}.PackValue(m); }, message);
  return {body.data(), body.size()};
}

std::optional<Message> DecodeMessage(std::string_view bytes) {
  return codec::UnpackArray(bytes, kBounds, [](MsgpackReader& in) {
    const auto index = in.Take<std::uint8_t>();
    MsgpackReader body(in.Next());
    return codec::ReadAlternative<Reading, Message>(index, body);
  });
}

std::string Encode(const Entry& entry) { return EncodeValue(entry); }
std::optional<Entry> DecodeEntry(std::string_view bytes) { return DecodeValue<Entry>(bytes); }
std::string Encode(const HardState& hard_state) { return EncodeValue(hard_state); }
std::optional<HardState> DecodeHardState(std::string_view bytes) { return DecodeValue<HardState>(bytes); }
std::string Encode(const Snapshot& snapshot) { return EncodeValue(snapshot); }
std::optional<Snapshot> DecodeSnapshot(std::string_view bytes) { return DecodeValue<Snapshot>(bytes); }

}  // namespace lemoncroft::raft
