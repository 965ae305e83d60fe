#include "replicated_config/messages.h"

#include "codec/msgpack_fields.h"
#include "raft/codec.h"

namespace lemoncroft::replicated_config {

using codec::MaybeConst;
using codec::MsgpackPacker;
using codec::MsgpackReader;

ChangeStatus LastOf(ChangeStatus) { return ChangeStatus::kUnknown; }
StoreOpinion LastOf(StoreOpinion) { return StoreOpinion::kUnknownStore; }

namespace {

// In order: elements per array, bytes per text, bytes per binary field, and depth of nesting.
constexpr codec::MsgpackLimits kDecodingLimits{4096, 128, raft::kMaxSnapshotBytes + 4096, 8};

template <typename V, MaybeConst<RaftMessage> E>
void VisitFields(V& v, E& e) {
  v(e.message);
}
template <typename V, MaybeConst<LeaseRequest> E>
void VisitFields(V& v, E& e) {
  v(e.renewal.sequence), v(e.renewal.prepared_version), v(e.format), v(e.incompatible_version);
}
template <typename V, MaybeConst<LeaseResponse> E>
void VisitFields(V& v, E& e) {
  v(e.grant.sequence), v(e.grant.active_version), v(e.grant.latest_version), v(e.grant.leader_clock),
      v(e.grant.leadership_epoch), v(e.voters);
}
template <typename V, MaybeConst<NotLeader> E>
void VisitFields(V& v, E& e) {
  v(e.leader_hint);
}
template <typename V, MaybeConst<DocumentRequest> E>
void VisitFields(V& v, E& e) {
  v(e.version);
}
template <typename V, MaybeConst<DocumentResponse> E>
void VisitFields(V& v, E& e) {
  v(e.version), v(e.document);
}
template <typename V, MaybeConst<ProposeRequest> E>
void VisitFields(V& v, E& e) {
  v(e.change.id), v(e.change.base_version), v(e.change.document), v(e.change.author),
      v(e.change.proposed_at_unix_ms);
}
template <typename V, MaybeConst<ChangeResult> E>
void VisitFields(V& v, E& e) {
  v(e.outcome.id), v(e.outcome.status), v(e.outcome.version), v(e.outcome.reason);
}
template <typename V, MaybeConst<ValidateRequest> E>
void VisitFields(V& v, E& e) {
  v(e.id), v(e.document);
}
template <typename V, MaybeConst<ValidateResponse> E>
void VisitFields(V& v, E& e) {
  v(e.id), v(e.reason);
}
template <typename V, MaybeConst<VoterChange> E>
void VisitFields(V& v, E& e) {
  v(e.id), v(e.voter), v(e.add);
}
template <typename V, MaybeConst<ReadRequest> E>
void VisitFields(V& v, E& e) {
  v(e.id);
}
template <typename V, MaybeConst<ReadResponse> E>
void VisitFields(V& v, E& e) {
  v(e.id), v(e.latest_version), v(e.active_version), v(e.voters);
}
template <typename V, MaybeConst<StoreHello> E>
void VisitFields(V& v, E& e) {
  v(e.store_id), v(e.bootstrapped), v(e.term), v(e.last_term), v(e.last_index);
}
template <typename V, MaybeConst<StoreHelloResponse> E>
void VisitFields(V& v, E& e) {
  v(e.in_reply_to_store_id), v(e.store_id), v(e.opinion), v(e.bootstrap_voters);
}
template <typename V, MaybeConst<AdmitVoter> E>
void VisitFields(V& v, E& e) {
  v(e.store_id);
}

struct BodyPacker : codec::FieldPacker {
  using FieldPacker::operator();
  void operator()(Duration value) { to.pack(static_cast<std::int64_t>(value.count())); }
  void operator()(const raft::Message& message) { codec::PackBytes(to, raft::Encode(message)); }
  void operator()(const std::map<raft::NodeId, std::uint64_t>& stores) {
    to.pack_array(static_cast<std::uint32_t>(2 * stores.size()));
    for (const auto& [name, store_id] : stores) (*this)(name), (*this)(store_id);
  }
};

struct BodyReader : codec::FieldReader {
  using FieldReader::operator();
  void operator()(Duration& value) { value = Duration(in.Take<std::int64_t>()); }
  void operator()(raft::Message& message) {
    auto read = raft::DecodeMessage(in.Bytes());
    if (!read) throw msgpack::type_error();
    message = std::move(*read);
  }
  void operator()(std::map<raft::NodeId, std::uint64_t>& stores) {
    MsgpackReader elements(in.Next());
    while (elements.left() > 0) {
      std::string name = elements.Bytes();
      stores[std::move(name)] = elements.Take<std::uint64_t>();
    }
  }
};

}  // namespace

std::string Encode(const Message& message) {
  msgpack::sbuffer body;
  MsgpackPacker to(body);
  std::visit(
      [&](const auto& b) {
        codec::FieldCounter counter;
        VisitFields(counter, b);
        to.pack_array(counter.count + 2);
        codec::PackBytes(to, message.sender);
        to.pack(static_cast<std::uint8_t>(message.body.index()));
        BodyPacker packer{{to}};
        VisitFields(packer, b);
      },
      message.body);
  return {body.data(), body.size()};
}

std::optional<Message> DecodeMessage(std::string_view bytes) {
  return codec::UnpackArray(bytes, kDecodingLimits, [](MsgpackReader& in) {
    Message message;
    message.sender = in.Bytes();
    const auto index = in.Take<std::uint8_t>();
    message.body = codec::ReadAlternative<BodyReader, MessageBody>(index, in);
    return message;
  });
}

}  // namespace lemoncroft::replicated_config
