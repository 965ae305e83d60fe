// Whether a voter whose store has just been opened may vote: not with a store that is empty though the fleet
// was founded with another, nor with one that is older than what it once answered for.
//
// Contract. No I/O, no clock: the owner sends Hello to the other voters now and then and hands over the
// answers. A fleet is founded once: when the first voters, all of them, have empty stores. Each then keeps
// the founders' stores durably. Owner: a Keeper. Errors: answers that are not to this store are dropped.
// Source: docs/agreement.md, after the log-loss rules of Ongaro's thesis (2014), section 11.
#ifndef LEMONCROFT_RULES_ADMISSION_H_
#define LEMONCROFT_RULES_ADMISSION_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "replicated_config/notes.h"

namespace lemoncroft::replicated_config {

using Founders = std::map<raft::NodeId, std::uint64_t>;  // the store of each

// Taken away by tests.
struct AdmissionGuards {
  bool blank_stays_out = true;  // an empty store that the fleet doesn't know
  bool older_stays_out = true;  // one that held more before
};

class Admission {
 public:
  enum class State {
    kAsking,
    kFounding,  // `founders` must be made durable, then it may vote
    kGood,      // it may vote
    kBlank,     // its store is empty, and the fleet goes on without: an operator must let it in
    kOlder,     // its store is older than what it answered for: it must be replaced
  };

  Admission(raft::NodeId self, std::vector<raft::NodeId> first, AdmissionGuards guards = {})
      : self_(std::move(self)), first_(std::move(first)), guards_(guards) {}

  // The store is open. `founders`: as kept; empty: it has never voted. `voters`: of its log.
  void Open(std::uint64_t store, Founders founders, const std::vector<raft::NodeId>& voters, Hello hello);
  void Close() { state_.reset(); }
  const std::optional<State>& state() const { return state_; }  // none: no store is open
  const Founders& founders() const { return founders_; }
  std::uint64_t store() const { return hello_.store; }
  const Hello& hello() const { return hello_; }
  const std::set<raft::NodeId>& others() const { return others_; }

  HelloAnswer Greet(const raft::NodeId& from, const Hello& hello);
  void Take(const raft::NodeId& from, const HelloAnswer& answer);
  // `patient`: there is still time to hear of all others.
  void Decide(bool patient);
  // An operator has let it in, with this store.
  void TakeInvitation(const Invite& invite);
  // The founders, or the invitation, are durable.
  void Kept();

  // What another voter has answered for while this process lives, so that it can be told if it holds less.
  void Note(const raft::NodeId& from, const raft::Message& message);
  // The store that a voter which isn't let in told last.
  std::optional<std::uint64_t> StoreOf(const raft::NodeId& name) const;

 private:
  struct Remembered {
    raft::Term term = 0;
    raft::Index match = 0;  // in that term
  };

  raft::NodeId self_;
  std::vector<raft::NodeId> first_;
  AdmissionGuards guards_;
  std::optional<State> state_;
  Hello hello_;
  Founders founders_;
  std::set<raft::NodeId> others_;
  std::map<raft::NodeId, HelloAnswer> answers_;
  std::map<raft::NodeId, Remembered> remembered_;
  std::map<raft::NodeId, std::uint64_t> stores_;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_RULES_ADMISSION_H_
