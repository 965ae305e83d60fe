// The replicated log as a system to be searched: three voters that are the real state machine, a network that
// loses, doubles and reorders, disks that keep or lose, crashes.
//
// Contract. Any voter's election may come at any time, any message at any time or never: a superset of what
// clocks allow, for the rules that must not rest on them. What clocks are for (leases, pre-votes) is played
// in virtual time instead. Budgets bound it: elections, proposals, crashes, doubled messages, messages on
// their way. Owner: a search.
#ifndef LEMONCROFT_MODEL_LOG_WORLD_H_
#define LEMONCROFT_MODEL_LOG_WORLD_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "raft/raft.h"
#include "testing/model_check/search.h"

namespace lemoncroft::model_check {

struct LogBudget {
  int elections = 2, proposals = 2, crashes = 1, doubled = 1, beats = 1;
  std::size_t on_their_way = 6;
};

class LogWorld {
 public:
  static constexpr std::size_t kVoters = 3;

  LogWorld(const raft::SafetyChecks& guards, const LogBudget& budget);

  void Next(std::vector<LogWorld>& into) const;
  std::string Wrong() const { return wrong_; }
  // The least of the texts under all ways to name the voters.
  std::string Canonical() const;

 private:
  struct Letter {
    std::size_t from = 0, to = 0;
    raft::Message message;
  };
  struct Member {
    raft::Raft raft;
    raft::PersistentState durable;
    std::vector<raft::StorageUpdate> writing;
    std::vector<raft::SendMessage> held;
    std::uint64_t kept = 0;
  };

  static std::string NameOf(std::size_t i) { return std::string(1, static_cast<char>('A' + i)); }
  void Carry(std::size_t i);
  std::string TextOf(std::size_t i) const;
  void Check(std::size_t i);

  raft::Options settings_;
  LogBudget left_;
  std::vector<Member> members_;
  std::vector<Letter> letters_;
  std::map<raft::Term, std::size_t> leaders_;
  std::map<raft::Index, raft::Entry> committed_;
  std::string wrong_;
};

// Searches until `most` distinct states, or all within the budget.
Found SearchLog(const raft::SafetyChecks& guards, const LogBudget& budget, std::uint64_t most);

}  // namespace lemoncroft::model_check

#endif  // LEMONCROFT_MODEL_LOG_WORLD_H_
