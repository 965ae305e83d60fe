// What proxies tell each other to agree on rules, beside the log's own messages.
//
// Contract. Plain values and their form on the wire: no I/O. What is read is bounded; anything that isn't
// whole and well formed is nothing; a note of a later version is passed over. Owner: none. Units: the
// sender's monotonic clock, in spans since some start of its own. Source: docs/agreement.md.
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

// A message of the log, from voter to voter.
struct RaftMessage {
  raft::Message message;
};
// A proxy asks for a lease: to whoever leads.
struct LeaseRequest {
  LeaseRenewal renewal;
  std::uint64_t format = 0;          // the newest documents that its program reads
  Version incompatible_version = 0;  // the newest version that it has seen and can't carry
};
struct LeaseResponse {
  LeaseGrant grant;
  std::vector<raft::NodeId> voters;  // as they are now
};
// Whoever was asked doesn't lead; this voter may. Empty: none is known.
struct NotLeader {
  raft::NodeId leader_hint;
};
struct DocumentRequest {
  Version version = 0;
};
struct DocumentResponse {
  Version version = 0;
  std::string document;
};
struct ProposeRequest {
  ConfigChange change;
};
struct ProposalResult {
  ChangeOutcome outcome;
};
// The leader, of a change that is not committed yet: could you carry it? And the answer; empty: yes.
struct ValidateRequest {
  std::string id, document;
};
struct ValidateResponse {
  std::string id, reason;
};
// A voter asked for a change of the voters.
struct VoterChange {
  std::string id;
  raft::NodeId voter;
  bool add = false;
};
// What is agreed on: asked of the leader, and its answer, true at some instant between.
struct ReadRequest {
  std::string id;
};
struct ReadResponse {
  std::string id;
  Version latest_version = 0, active_version = 0;
  std::vector<raft::NodeId> voters;
};
// A voter that has opened its store, to the others; and what they know of it (rules/admission.h).
struct StoreHello {
  std::uint64_t store = 0;  // drawn when the store was made
  bool bootstrapped = false;
  raft::Term term = 0, last_term = 0;
  raft::Index last_index = 0;
};
enum class StoreOpinion : std::uint8_t {
  kEmptyStore,      // I have nothing either
  kNoObjection,     // I know nothing against it
  kStaleStore,      // it has answered me for more than it holds now
  kBootstrapVoter,  // the fleet was founded with this store: see `founders`
  kUnknownStore,    // the fleet was founded without this store
};
struct StoreHelloResponse {
  std::uint64_t in_reply_to_store = 0, store = 0;
  StoreOpinion opinion = StoreOpinion::kEmptyStore;
  std::map<raft::NodeId, std::uint64_t> bootstrap_voters;
};
// The leader, to a voter with an empty store that an operator has let in.
struct AdmitVoter {
  std::uint64_t store = 0;
};

using MessageBody =
    std::variant<RaftMessage, LeaseRequest, LeaseResponse, NotLeader, DocumentRequest, DocumentResponse,
                 ProposeRequest, ProposalResult, ValidateRequest, ValidateResponse, VoterChange, ReadRequest,
                 ReadResponse, StoreHello, StoreHelloResponse, AdmitVoter>;
struct Message {
  raft::NodeId sender;  // the proxy's name
  MessageBody body;
};

std::string Encode(const Message& message);
std::optional<Message> DecodeMessage(std::string_view bytes);

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_MESSAGES_H_
