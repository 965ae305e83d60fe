// Decides whether a voter may vote with the store that it has just opened. It may not with an empty store
// that the fleet was not bootstrapped with, nor with a store that holds less than it acknowledged before:
// either could lose committed entries.
//
// Contract: no I/O and no clock. The owner sends hello() to other_voters() periodically and passes the
// responses on. A fleet is bootstrapped once, when all initial voters have empty stores; each then
// persists the stores of all of them.
//
// Thread safety: none.
//
// Owner: a ConfigReplica.
//
// Errors: a response to another store is ignored.
//
// Design: docs/agreement.md, after the log-loss rules of Ongaro's thesis (2014), section 11.
#ifndef LEMONCROFT_REPLICATED_CONFIG_VOTER_ADMISSION_H_
#define LEMONCROFT_REPLICATED_CONFIG_VOTER_ADMISSION_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "replicated_config/messages.h"

namespace lemoncroft::replicated_config {

using BootstrapVoters = std::map<raft::NodeId, std::uint64_t>;  // store ids by voter

// Disabled one at a time by mutation tests; nothing else changes them.
struct AdmissionSafetyChecks {
  bool exclude_empty_store = true;  // an empty store that the fleet was not bootstrapped with
  bool exclude_stale_store = true;  // a store that holds less than it acknowledged before
};

class VoterAdmission {
 public:
  enum class State {
    kQueryingVoters,
    kBootstrapping,  // may vote once bootstrap_voters() is persisted
    kAdmitted,       // may vote
    kEmptyStore,     // the store is empty and the fleet exists: an operator has to add the voter
    kStaleStore,     // the store holds less than it acknowledged: it has to be replaced
  };

  VoterAdmission(raft::NodeId self, std::vector<raft::NodeId> initial_voters,
                 AdmissionSafetyChecks safety_checks = {})
      : self_(std::move(self)), initial_voters_(std::move(initial_voters)), safety_checks_(safety_checks) {}

  // Starts admission for a store. `bootstrap_voters`: as persisted in it; empty where it never voted.
  // `voters`: of its log.
  void Open(std::uint64_t store_id, BootstrapVoters bootstrap_voters, const std::vector<raft::NodeId>& voters,
            StoreHello hello);
  void Close() { state_.reset(); }
  // Nullopt while no store is open.
  const std::optional<State>& state() const { return state_; }
  const BootstrapVoters& bootstrap_voters() const { return bootstrap_voters_; }
  std::uint64_t store_id() const { return hello_.store_id; }
  const StoreHello& hello() const { return hello_; }
  const std::set<raft::NodeId>& other_voters() const { return other_voters_; }

  // Answers the hello of another voter.
  StoreHelloResponse AnswerHello(const raft::NodeId& from, const StoreHello& hello);
  // Handles another voter's answer to hello().
  void HandleResponse(const raft::NodeId& from, const StoreHelloResponse& response);
  // Admits a store that has voted before if enough voters have no objection: all others with `wait_for_all`,
  // otherwise a majority.
  void Decide(bool wait_for_all);
  // An operator has added this voter.
  void HandleAdmitVoter(const AdmitVoter& admission);
  // bootstrap_voters() is persisted.
  void OnBootstrapVotersPersisted();

  // Remembers what another voter has acknowledged to this process, to recognise a stale store of its later.
  void ObserveRaftMessage(const raft::NodeId& from, const raft::Message& message);
  // The store that a voter without a vote announced last.
  std::optional<std::uint64_t> UnadmittedStore(const raft::NodeId& name) const;

 private:
  struct Acknowledged {
    raft::Term term = 0;
    raft::Index match = 0;  // the highest in that term
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
  std::map<raft::NodeId, std::uint64_t> unadmitted_stores_;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_VOTER_ADMISSION_H_
