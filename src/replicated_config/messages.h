// The messages between proxies about the replicated configuration, and their encoding. Raft's own messages
// are sent inside RaftMessage.
//
// The order of MessageBody's alternatives and of their fields is the wire format. Later versions may append
// fields. Times are durations by the sender's monotonic clock. Decoding is bounded; messages that are
// incomplete, malformed or of an unknown kind are rejected.
//
// Design: docs/agreement.md.
#ifndef LEMONCROFT_REPLICATED_CONFIG_MESSAGES_H_
#define LEMONCROFT_REPLICATED_CONFIG_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "raft/types.h"
#include "replicated_config/config_state_machine.h"
#include "replicated_config/lease.h"

namespace lemoncroft::replicated_config {

// From a voter to another voter.
struct RaftMessage {
  raft::Message message;
};

// From a proxy to the leader: requests or renews its lease.
struct LeaseRequest {
  LeaseRenewal renewal;
  std::uint64_t format = 0;          // the newest document format that this program reads
  Version incompatible_version = 0;  // the newest version that this proxy has received but cannot apply
};
struct LeaseResponse {
  LeaseGrant grant;
  std::vector<raft::NodeId> voters;  // the current voters
};

// The response of a proxy that is not the leader to a request for the leader.
struct NotLeader {
  raft::NodeId leader_hint;  // empty if unknown
};

// From a proxy to any other: requests the document of a version.
struct DocumentRequest {
  Version version = 0;
};
struct DocumentResponse {
  Version version = 0;
  std::string document;
};

// From a proxy to the leader: proposes a change.
struct ProposeRequest {
  ConfigChange change;
};
// From the leader to the proxy that sent a ProposeRequest or a VoterChange: the final outcome of the change.
struct ChangeResult {
  ChangeOutcome outcome;
};

// From the leader to each lease holder, before it proposes a change: asks whether the holder can apply the
// document. `id` is the id of the change.
struct ValidateRequest {
  std::string id, document;
};
struct ValidateResponse {
  std::string id, reason;  // `reason` is empty if the holder can apply the document
};

// From a proxy to the leader: adds or removes a voter. The response is a ChangeResult.
struct VoterChange {
  std::string id;
  raft::NodeId voter;
  bool add = false;
};

// From a proxy to the leader: a linearizable read of the current versions and voters.
struct ReadRequest {
  std::string id;
};
struct ReadResponse {
  std::string id;
  Version latest_version = 0, active_version = 0;
  std::vector<raft::NodeId> voters;
};

// From a voter that has opened its store to the other voters; see voter_admission.h.
struct StoreHello {
  std::uint64_t store_id = 0;  // drawn when the store was created
  bool bootstrapped = false;   // the store has voted before
  raft::Term term = 0, last_term = 0;
  raft::Index last_index = 0;
};
// The responder's opinion about the store of the voter that sent a StoreHello.
enum class StoreOpinion : std::uint8_t {
  kResponderNotBootstrapped,  // the responder's store is not bootstrapped either
  kNoObjection,               // the responder knows no reason to exclude the store
  kStaleStore,                // the store has acknowledged more to the responder than it contains now
  kBootstrapVoter,            // the store is among the responder's bootstrap voters
  kUnknownStore,              // the store is not among the responder's bootstrap voters
};
struct StoreHelloResponse {
  std::uint64_t in_reply_to_store_id = 0, store_id = 0;
  StoreOpinion opinion = StoreOpinion::kResponderNotBootstrapped;
  std::map<raft::NodeId, std::uint64_t> bootstrap_voters;  // store ids by voter; set with kBootstrapVoter
};

// From the leader to a voter with an empty store that an operator has added.
struct AdmitVoter {
  std::uint64_t store_id = 0;  // the added store
};

using MessageBody =
    std::variant<RaftMessage, LeaseRequest, LeaseResponse, NotLeader, DocumentRequest, DocumentResponse,
                 ProposeRequest, ChangeResult, ValidateRequest, ValidateResponse, VoterChange, ReadRequest,
                 ReadResponse, StoreHello, StoreHelloResponse, AdmitVoter>;
struct Message {
  raft::NodeId sender;  // the name of the sending proxy
  MessageBody body;
};

std::string Encode(const Message& message);
// Returns nullopt unless `bytes` starts with a well-formed array that starts with all fields of one message.
// Later fields are ignored.
std::optional<Message> DecodeMessage(std::string_view bytes);

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_MESSAGES_H_
