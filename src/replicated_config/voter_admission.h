// Decides whether a voter may vote with the store that it has just opened. Two kinds of stores are not
// admitted, because either could lose committed entries: an empty store that the fleet was not bootstrapped
// with, and a store that contains less than it acknowledged before.
//
// A fleet is bootstrapped once, when the stores of all initial voters are empty. Each voter then persists the
// ids of all their stores.
//
// The class does no I/O and reads no clock. The ConfigReplica that owns it sends hello() to other_voters()
// periodically and passes on their responses; a response about another store is ignored.
//
// Not thread-safe.
//
// Design: docs/agreement.md, based on the rules for log loss in Ongaro's thesis (2014), section 11.
#ifndef LEMONCROFT_REPLICATED_CONFIG_VOTER_ADMISSION_H_
#define LEMONCROFT_REPLICATED_CONFIG_VOTER_ADMISSION_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "replicated_config/messages.h"

namespace lemoncroft::replicated_config {

// Store ids by voter. A voter that an operator has added has only its own store here.
using BootstrapVoters = std::map<raft::NodeId, std::uint64_t>;

// The rules that safety depends on. Mutation tests disable one at a time; everywhere else all are true.
struct AdmissionSafetyChecks {
  bool exclude_empty_store = true;  // excludes an empty store that the fleet was not bootstrapped with
  bool exclude_stale_store = true;  // excludes a store that contains less than it acknowledged before
};

class VoterAdmission {
 public:
  enum class State {
    kQueryingVoters,
    kBootstrapping,     // the voter may vote once bootstrap_voters() is persisted
    kAdmitted,          // the voter may vote
    kAwaitingOperator,  // the store is empty but the fleet is bootstrapped: an operator has to add the voter
    kStaleStore,        // the store contains less than it acknowledged: it has to be replaced
  };

  VoterAdmission(raft::NodeId self, std::vector<raft::NodeId> initial_voters,
                 AdmissionSafetyChecks safety_checks = {})
      : self_(std::move(self)), initial_voters_(std::move(initial_voters)), safety_checks_(safety_checks) {}

  // Starts the admission of a store. `bootstrap_voters` are those persisted in the store, empty if it has
  // never voted; `voters` are those of its log.
  void Open(std::uint64_t store_id, BootstrapVoters bootstrap_voters, const std::vector<raft::NodeId>& voters,
            StoreHello hello);
  void Close() { state_.reset(); }
  // Returns nullopt while no store is open.
  const std::optional<State>& state() const { return state_; }
  const BootstrapVoters& bootstrap_voters() const { return bootstrap_voters_; }
  std::uint64_t store_id() const { return hello_.store_id; }
  const StoreHello& hello() const { return hello_; }
  const std::set<raft::NodeId>& other_voters() const { return other_voters_; }

  // Returns the response to the hello of another voter.
  StoreHelloResponse AnswerHello(const raft::NodeId& from, const StoreHello& hello);
  // Handles another voter's response to hello().
  void HandleResponse(const raft::NodeId& from, const StoreHelloResponse& response);
  // Admits a store that has voted before if enough voters have no objection: with `wait_for_all` all other
  // voters, otherwise a majority, in which this voter counts.
  void Decide(bool wait_for_all);
  // Handles the leader's message that an operator has added this voter.
  void HandleAdmitVoter(const AdmitVoter& admission);
  // Reports that bootstrap_voters() is durable.
  void OnBootstrapVotersPersisted();

  // Records what another voter acknowledges to this process, to detect later that the store of that voter is
  // stale.
  void ObserveRaftMessage(const raft::NodeId& from, const raft::Message& message);
  // Returns the id of the last store with which `name` sent a hello before that store had voted. The store
  // may have been admitted since. Returns nullopt if there was no such hello, or if too many other nodes had
  // sent one.
  std::optional<std::uint64_t> LastEmptyStoreId(const raft::NodeId& name) const;

 private:
  struct Acknowledged {
    raft::Term term = 0;
    raft::Index match_index = 0;  // the highest index acknowledged in that term
  };

  void HandleResponseToEmptyStore(const StoreHelloResponse& response);

  raft::NodeId self_;
  std::vector<raft::NodeId> initial_voters_;
  AdmissionSafetyChecks safety_checks_;
  std::optional<State> state_;
  StoreHello hello_;
  BootstrapVoters bootstrap_voters_;
  std::set<raft::NodeId> other_voters_;
  std::map<raft::NodeId, StoreHelloResponse> responses_;
  std::map<raft::NodeId, Acknowledged> acknowledged_;
  std::map<raft::NodeId, std::uint64_t> last_empty_store_ids_;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_VOTER_ADMISSION_H_
