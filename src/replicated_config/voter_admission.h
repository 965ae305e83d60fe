// Whether a voter whose store has just been opened may vote: not with a store that is empty though the fleet
// was founded with another, nor with one that is older than what it once answered for.
//
// Contract. No I/O, no clock: the owner sends Hello to the other voters now and then and hands over the
// answers. A fleet is founded once: when the first voters, all of them, have empty stores. Each then keeps
// the founders' stores durably. Owner: a Keeper. Errors: answers that are not to this store are dropped.
// Source: docs/agreement.md, after the log-loss rules of Ongaro's thesis (2014), section 11.
#ifndef LEMONCROFT_REPLICATED_CONFIG_VOTER_ADMISSION_H_
#define LEMONCROFT_REPLICATED_CONFIG_VOTER_ADMISSION_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "replicated_config/messages.h"

namespace lemoncroft::replicated_config {

using BootstrapVoters = std::map<raft::NodeId, std::uint64_t>;  // the store of each

// Taken away by tests.
struct AdmissionSafetyChecks {
  bool exclude_empty_store = true;  // an empty store that the fleet doesn't know
  bool exclude_stale_store = true;  // one that held more before
};

class VoterAdmission {
 public:
  enum class State {
    kQueryingVoters,
    kBootstrapping,  // `founders` must be made durable, then it may vote
    kAdmitted,       // it may vote
    kEmptyStore,     // its store is empty, and the fleet goes on without: an operator must let it in
    kStaleStore,     // its store is older than what it answered for: it must be replaced
  };

  VoterAdmission(raft::NodeId self, std::vector<raft::NodeId> initial_voters,
                 AdmissionSafetyChecks safety_checks = {})
      : self_(std::move(self)), initial_voters_(std::move(initial_voters)), safety_checks_(safety_checks) {}

  // The store is open. `founders`: as kept; empty: it has never voted. `voters`: of its log.
  void Open(std::uint64_t store, BootstrapVoters bootstrap_voters, const std::vector<raft::NodeId>& voters,
            StoreHello hello);
  void Close() { state_.reset(); }
  const std::optional<State>& state() const { return state_; }  // none: no store is open
  const BootstrapVoters& bootstrap_voters() const { return bootstrap_voters_; }
  std::uint64_t store() const { return hello_.store; }
  const StoreHello& hello() const { return hello_; }
  const std::set<raft::NodeId>& other_voters() const { return other_voters_; }

  StoreHelloResponse AnswerHello(const raft::NodeId& from, const StoreHello& hello);
  void HandleResponse(const raft::NodeId& from, const StoreHelloResponse& response);
  // `patient`: there is still time to hear of all others.
  void Decide(bool wait_for_all);
  // An operator has let it in, with this store.
  void HandleAdmitVoter(const AdmitVoter& admission);
  // The founders, or the invitation, are durable.
  void OnBootstrapVotersStored();

  // What another voter has answered for while this process lives, so that it can be told if it holds less.
  void ObserveRaftMessage(const raft::NodeId& from, const raft::Message& message);
  // The store that a voter which isn't let in told last.
  std::optional<std::uint64_t> UnadmittedStore(const raft::NodeId& name) const;

 private:
  struct Acknowledged {
    raft::Term term = 0;
    raft::Index match = 0;  // in that term
  };

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
