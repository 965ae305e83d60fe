// Messages between proxies about the replicated configuration, and their encoding. Raft's own messages
// travel inside RaftMessage.
//
// Contract: plain values; no I/O. Decoding is bounded; a message that is incomplete, malformed or of a
// newer kind decodes to nothing. The order of MessageBody's alternatives and of their fields is the wire
// format. Times are spans on the sender's monotonic clock.
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

// From voter to voter.
struct RaftMessage {
  raft::Message message;
};

// From a proxy to the leader: requests or renews its lease.
struct LeaseRequest {
  LeaseRenewal renewal;
  std::uint64_t format = 0;          // the newest document format that this program reads
  Version incompatible_version = 0;  // the newest version that was received and cannot be applied here
};
struct LeaseResponse {
  LeaseGrant grant;
  std::vector<raft::NodeId> voters;  // the current ones
};

// The receiver of a request does not lead.
struct NotLeader {
  raft::NodeId leader_hint;  // empty: unknown
};

// Asks any proxy for the document of a version.
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
// Ends a ProposeRequest or a VoterChange.
struct ProposalResult {
  ChangeOutcome outcome;
};

// From the leader to each lease holder, before it proposes a change: can the document be applied there?
struct ValidateRequest {
  std::string id, document;  // the id of the change
};
struct ValidateResponse {
  std::string id, reason;  // reason: why it cannot be applied; empty: it can
};

// Adds or removes a voter; answered by ProposalResult.
struct VoterChange {
  std::string id;
  raft::NodeId voter;
  bool add = false;
};

// Linearizable read of the current versions and voters, answered by the leader.
struct ReadRequest {
  std::string id;
};
struct ReadResponse {
  std::string id;
  Version latest_version = 0, active_version = 0;
  std::vector<raft::NodeId> voters;
};

// From a voter that has opened its store to the other voters (voter_admission.h).
struct StoreHello {
  std::uint64_t store_id = 0;  // id of the store, drawn when it was created
  bool bootstrapped = false;   // the store has voted before
  raft::Term term = 0, last_term = 0;
  raft::Index last_index = 0;
};
// What a voter knows about the store of another.
enum class StoreOpinion : std::uint8_t {
  kEmptyStore,      // the responder's store is empty, too
  kNoObjection,     // nothing is known against it
  kStaleStore,      // it acknowledged more to the responder than it holds now
  kBootstrapVoter,  // the fleet was bootstrapped with this store
  kUnknownStore,    // the fleet was bootstrapped without this store
};
struct StoreHelloResponse {
  std::uint64_t in_reply_to_store_id = 0, store_id = 0;
  StoreOpinion opinion = StoreOpinion::kEmptyStore;
  std::map<raft::NodeId, std::uint64_t> bootstrap_voters;  // their stores; with kBootstrapVoter
};

// From the leader to a voter with an empty store that an operator has added.
struct AdmitVoter {
  std::uint64_t store_id = 0;  // the store that was added
};

using MessageBody =
    std::variant<RaftMessage, LeaseRequest, LeaseResponse, NotLeader, DocumentRequest, DocumentResponse,
                 ProposeRequest, ProposalResult, ValidateRequest, ValidateResponse, VoterChange, ReadRequest,
                 ReadResponse, StoreHello, StoreHelloResponse, AdmitVoter>;
struct Message {
  raft::NodeId sender;  // the name of the proxy
  MessageBody body;
};

std::string Encode(const Message& message);
// Returns nullopt for anything that is not one complete, well-formed message.
std::optional<Message> DecodeMessage(std::string_view bytes);

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_MESSAGES_H_
