#include "replicated_config/notes.h"

#include "codec/msgpack_fields.h"
#include "raft/codec.h"

namespace lemoncroft::replicated_config {

using codec::Is;
using codec::MsgpackPacker;
using codec::MsgpackReader;

Verdict LastOf(Verdict) { return Verdict::kUnknown; }
Welcome LastOf(Welcome) { return Welcome::kStranger; }

namespace {

constexpr codec::MsgpackBounds kBounds{4096, 128, raft::kMaxSnapshotBytes + 4096, 8};

template <typename V, Is<Logged> E>
void Fields(V& v, E& e) {
  v(e.message);
}
template <typename V, Is<Renew> E>
void Fields(V& v, E& e) {
  v(e.renewal.number), v(e.renewal.prepared), v(e.format), v(e.refuses);
}
template <typename V, Is<Granted> E>
void Fields(V& v, E& e) {
  v(e.grant.number), v(e.grant.in_force), v(e.grant.newest), v(e.grant.leaders_clock), v(e.grant.reign),
      v(e.voters);
}
template <typename V, Is<Elsewhere> E>
void Fields(V& v, E& e) {
  v(e.leader);
}
template <typename V, Is<Fetch> E>
void Fields(V& v, E& e) {
  v(e.version);
}
template <typename V, Is<Fetched> E>
void Fields(V& v, E& e) {
  v(e.version), v(e.text);
}
template <typename V, Is<Propose> E>
void Fields(V& v, E& e) {
  v(e.change.id), v(e.change.from), v(e.change.text), v(e.change.by), v(e.change.at_unix_ms);
}
template <typename V, Is<Told> E>
void Fields(V& v, E& e) {
  v(e.outcome.id), v(e.outcome.verdict), v(e.outcome.version), v(e.outcome.why);
}
template <typename V, Is<Ask> E>
void Fields(V& v, E& e) {
  v(e.id), v(e.text);
}
template <typename V, Is<Answer> E>
void Fields(V& v, E& e) {
  v(e.id), v(e.why);
}
template <typename V, Is<Voters> E>
void Fields(V& v, E& e) {
  v(e.id), v(e.who), v(e.in);
}
template <typename V, Is<Read> E>
void Fields(V& v, E& e) {
  v(e.id);
}
template <typename V, Is<ReadOut> E>
void Fields(V& v, E& e) {
  v(e.id), v(e.newest), v(e.in_force), v(e.voters);
}
template <typename V, Is<Hello> E>
void Fields(V& v, E& e) {
  v(e.store), v(e.founded), v(e.term), v(e.last_term), v(e.last);
}
template <typename V, Is<HelloAnswer> E>
void Fields(V& v, E& e) {
  v(e.to_store), v(e.store), v(e.welcome), v(e.founders);
}
template <typename V, Is<Invite> E>
void Fields(V& v, E& e) {
  v(e.store);
}

struct Packing : codec::FieldPacking {
  using FieldPacking::operator();
  void operator()(Span value) { to.pack(static_cast<std::int64_t>(value.count())); }
  void operator()(const raft::Message& message) { codec::PackBytes(to, raft::Encode(message)); }
  void operator()(const std::map<raft::NodeId, std::uint64_t>& stores) {
    to.pack_array(static_cast<std::uint32_t>(2 * stores.size()));
    for (const auto& [name, store] : stores) (*this)(name), (*this)(store);
  }
};

struct Reading : codec::FieldReading {
  using FieldReading::operator();
  void operator()(Span& value) { value = Span(in.Take<std::int64_t>()); }
  void operator()(raft::Message& message) {
    auto read = raft::DecodeMessage(in.Bytes());
    if (!read) throw msgpack::type_error();
    message = std::move(*read);
  }
  void operator()(std::map<raft::NodeId, std::uint64_t>& stores) {
    MsgpackReader all(in.Next());
    while (all.left() > 0) {
      std::string name = all.Bytes();
      stores[std::move(name)] = all.Take<std::uint64_t>();
    }
  }
};

}  // namespace

std::string Encode(const Note& note) {
  msgpack::sbuffer body;
  MsgpackPacker to(body);
  std::visit(
      [&](const auto& b) {
        codec::FieldCounting counting;
        Fields(counting, b);
        to.pack_array(counting.count + 2);
        codec::PackBytes(to, note.from);
        to.pack(static_cast<std::uint8_t>(note.body.index()));
        Packing packing{{to}};
        Fields(packing, b);
      },
      note.body);
  return {body.data(), body.size()};
}

std::optional<Note> DecodeNote(std::string_view bytes) {
  return codec::Guarded(bytes, kBounds, [](MsgpackReader& in) {
    Note note;
    note.from = in.Bytes();
    const auto index = in.Take<std::uint8_t>();
    note.body = codec::ReadAlternative<Reading, NoteBody>(index, in);
    return note;
  });
}

}  // namespace lemoncroft::replicated_config
