// The replicated log as a system to be searched: three voters that are the real state machine, a network that
// loses, doubles and reorders, disks that keep or lose, crashes.
//
// Contract. Any voter's election may come at any time, any message at any time or never: a superset of what
// clocks allow, for the rules that must not rest on them. What clocks are for (leases, pre-votes) is played
// in virtual time instead. Budgets bound it: elections, proposals, crashes, doubled messages, messages on
// their way. Owner: a search.
#ifndef LEMONCROFT_TESTING_MODEL_CHECK_RAFT_MODEL_H_
#define LEMONCROFT_TESTING_MODEL_CHECK_RAFT_MODEL_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "raft/raft.h"
#include "testing/model_check/search.h"

namespace lemoncroft::model_check {

struct RaftModelBudget {
  int elections = 2, proposals = 2, crashes = 1, duplicates = 1, heartbeats = 1;
  std::size_t max_in_flight = 6;
};

class RaftModel {
 public:
  static constexpr std::size_t kVoters = 3;

  RaftModel(const raft::SafetyChecks& safety_checks, const RaftModelBudget& budget);

  void AppendSuccessors(std::vector<RaftModel>& into) const;
  std::string Violation() const { return violation_; }
  // The least of the texts under all ways to name the voters.
  std::string Canonical() const;

 private:
  struct Packet {
    std::size_t from = 0, to = 0;
    raft::Message message;
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
  std::string TextOf(std::size_t i) const;
  void CheckInvariants(std::size_t i);

  raft::Options options_;
  RaftModelBudget budget_;
  std::vector<Member> members_;
  std::vector<Packet> network_;
  std::map<raft::Term, std::size_t> leaders_;
  std::map<raft::Index, raft::Entry> committed_;
  std::string violation_;
};

// Searches until `most` distinct states, or all within the budget.
SearchResult SearchRaftModel(const raft::SafetyChecks& safety_checks, const RaftModelBudget& budget,
                             std::uint64_t max_states);

}  // namespace lemoncroft::model_check

#endif  // LEMONCROFT_TESTING_MODEL_CHECK_RAFT_MODEL_H_
