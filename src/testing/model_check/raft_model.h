// Model of a Raft cluster for exhaustive search: three voters that run the real state machine, a network that
// loses, duplicates and reorders messages, and voters that crash and lose writes that are not durable.
//
// Any voter may start an election at any time, and any message may arrive at any time or never. Clocks allow
// only a subset of these behaviours, so testing/simulation/raft_cluster.h checks the properties that depend
// on time (leases, pre-vote). A budget bounds the faults.
#ifndef LEMONCROFT_TESTING_MODEL_CHECK_RAFT_MODEL_H_
#define LEMONCROFT_TESTING_MODEL_CHECK_RAFT_MODEL_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "raft/raft.h"
#include "testing/model_check/search.h"

namespace lemoncroft::model_check {

// How often each event may occur on one path.
struct RaftModelBudget {
  int elections = 2, proposals = 2, crashes = 1, duplicates = 1, heartbeats = 1;
  std::size_t max_in_flight = 6;  // further messages are lost
};

class RaftModel {
 public:
  static constexpr std::size_t kVoters = 3;

  RaftModel(const raft::SafetyChecks& safety_checks, const RaftModelBudget& budget);

  // Appends the states that one event can lead to.
  void AppendSuccessors(std::vector<RaftModel>& successors) const;
  // Returns the invariant that this state violates, or an empty string.
  std::string Violation() const { return violation_; }
  // Returns the smallest of the state's texts under all permutations of the voters' names.
  std::string Canonical() const;

 private:
  struct Packet {
    std::size_t from = 0, to = 0;
    raft::Message message;
    bool operator==(const Packet&) const = default;
  };
  struct Member {
    raft::Raft raft;
    raft::PersistentState persistent;
    std::vector<raft::StorageUpdate> pending_writes;
    std::vector<raft::SendMessage> unsent;
    std::uint64_t persisted_sequence = 0;
  };

  static std::string NameOf(std::size_t i) { return std::string(1, static_cast<char>('A' + i)); }
  void ProcessOutputs(std::size_t i);
  void SendPersisted(std::size_t i);
  void CheckInvariants(std::size_t i);
  void CheckLeader(std::size_t i);
  void CheckLogMatching(std::size_t i);
  void AppendDeliveries(std::vector<RaftModel>& successors) const;
  void AppendEventsOf(std::size_t i, std::vector<RaftModel>& successors) const;
  std::string TextOf(std::size_t i) const;

  raft::Options options_;
  RaftModelBudget budget_;  // the remaining budget
  std::vector<Member> members_;
  std::vector<Packet> network_;
  std::map<raft::Term, std::size_t> leaders_;
  std::map<raft::Index, raft::Entry> committed_;
  std::string violation_;
};

// Searches the model until `max_states` distinct states are found, or all states that the budget allows.
SearchResult SearchRaftModel(const raft::SafetyChecks& safety_checks, const RaftModelBudget& budget,
                             std::uint64_t max_states);

}  // namespace lemoncroft::model_check

#endif  // LEMONCROFT_TESTING_MODEL_CHECK_RAFT_MODEL_H_
