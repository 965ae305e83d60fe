// A cluster of voters in virtual time: the real state machines, on stand-in links, clocks that run apart and
// disks that take their time and lose what was not synced.
//
// Deterministic for a seed. Owned by one test or measurement. Checks the log's rules at every step: one
// leader a term, what is committed stays and is the same at all, one holder of the leader's lease at a time.
// Times are true time.
#ifndef LEMONCROFT_STANDIN_VOTERS_H_
#define LEMONCROFT_STANDIN_VOTERS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "raft/raft.h"
#include "testing/simulation/links.h"

namespace lemoncroft::simulation {

class Voters {
 public:
  struct Plan {
    std::uint64_t seed = 1;
    std::size_t members = 3;  // of which `voting` vote at first
    std::size_t voting = 3;
    raft::Options settings;
    double drift = 0.005;                         // of each clock from true time
    Instant sync = std::chrono::milliseconds(2);  // of a disk
    bool lie = false;                             // disks lose what they said they had synced, at a crash
  };

  explicit Voters(const Plan& plan);

  static std::string NameOf(std::size_t i) { return std::string(1, static_cast<char>('A' + i)); }
  void Crash(std::size_t i);
  void Restart(std::size_t i);
  void Stall(std::size_t i, Instant span);
  void SlowDisk(std::size_t i, Instant sync) { members_[i].sync = sync; }
  void RunFor(Instant span) { RunTo(now_ + span); }
  void RunTo(Instant until);

  // At whoever leads now; none where nobody does.
  std::optional<std::size_t> Leader() const;
  raft::ProposalResult Propose(std::size_t at, const std::string& data);
  raft::ProposalResult ChangeVoters(std::size_t at, const std::string& who, bool in);
  void Resign(std::size_t at);
  void Compact(std::size_t at);
  bool Lives(std::size_t i) const { return members_[i].raft != nullptr; }
  const raft::Raft& raft(std::size_t i) const { return *members_[i].raft; }
  // Whether it would act as the leader at this instant, by its own clock.
  bool Leads(std::size_t i) const;

  Links& links() { return links_; }
  // By its own clock.
  raft::Time LocalNow(std::size_t i) const { return Local(members_[i]); }
  // Told each entry that a member learns to be committed; all of them again after a restart.
  std::function<void(std::size_t, const raft::Entry&)> on_committed;
  Instant now() const { return now_; }
  const std::vector<std::string>& broken() const { return broken_; }  // rules, as they broke
  const std::map<raft::Index, raft::Entry>& committed() const { return committed_; }
  std::uint64_t messages() const { return messages_; }

 private:
  struct Member {
    std::unique_ptr<raft::Raft> raft;
    raft::PersistentState durable;
    std::vector<std::pair<Instant, raft::StorageUpdate>> writing;  // in order; when each is synced
    std::vector<raft::SendMessage> held;
    std::uint64_t kept = 0;
    double rate = 1;
    raft::Time origin{};
    Instant held_until{}, sync{};
    std::uint64_t life = 0;
  };
  struct Happening {
    Instant at{};
    std::uint64_t order = 0;
    std::size_t member = 0;
    std::uint64_t life = 0;  // of the member; a message outlives lives
    enum class EntryKind { kStep, kMessage, kSynced } kind = EntryKind::kStep;
    std::string from;
    std::shared_ptr<const raft::Message> message;
    bool operator>(const Happening& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  raft::Time Local(const Member& m) const;
  void Handle(const Happening& happening);
  void Carry(std::size_t i);
  void Release(std::size_t i);
  void Note(std::size_t i);  // checks the rules after its step

  Plan plan_;
  std::mt19937_64 random_;
  Links links_;
  Instant now_{};
  std::uint64_t order_ = 0, messages_ = 0;
  std::priority_queue<Happening, std::vector<Happening>, std::greater<>> queue_;
  std::vector<Member> members_;
  std::map<raft::Term, std::string> leaders_;
  std::map<raft::Index, raft::Entry> committed_;
  std::vector<std::string> broken_;
};

// Writes a store's output into what is durable, as a disk would.
void Apply(const raft::StorageUpdate& store, raft::PersistentState& durable);

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_STANDIN_VOTERS_H_
