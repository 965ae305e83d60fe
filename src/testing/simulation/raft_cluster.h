// A cluster of voters in virtual time: the real state machines, on stand-in links, clocks that run apart and
// disks that take their time and lose what was not synced.
//
// Deterministic for a seed. Owned by one test or measurement. Checks the log's rules at every step: one
// leader a term, what is committed stays and is the same at all, one holder of the leader's lease at a time.
// Times are true time.
#ifndef LEMONCROFT_TESTING_SIMULATION_RAFT_CLUSTER_H_
#define LEMONCROFT_TESTING_SIMULATION_RAFT_CLUSTER_H_

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

class RaftCluster {
 public:
  struct Plan {
    std::uint64_t seed = 1;
    std::size_t members = 3;  // of which `voting` vote at first
    std::size_t initial_voters = 3;
    raft::Options options;
    double max_clock_drift = 0.005;                        // of each clock from true time
    Instant sync_duration = std::chrono::milliseconds(2);  // of a disk
    bool lose_synced_writes = false;  // disks lose what they said they had synced, at a crash
  };

  explicit RaftCluster(const Plan& plan);

  static std::string NameOf(std::size_t i) { return std::string(1, static_cast<char>('A' + i)); }
  void Crash(std::size_t i);
  void Restart(std::size_t i);
  void Stall(std::size_t i, Instant span);
  void SlowDisk(std::size_t i, Instant sync_duration) { members_[i].sync_duration = sync_duration; }
  void RunFor(Instant span) { RunTo(now_ + span); }
  void RunTo(Instant until);

  // At whoever leads now; none where nobody does.
  std::optional<std::size_t> Leader() const;
  raft::ProposalResult Propose(std::size_t at, const std::string& data);
  raft::ProposalResult ChangeVoters(std::size_t at, const std::string& who, bool in);
  void TransferLeadership(std::size_t at);
  void Compact(std::size_t at);
  bool IsRunning(std::size_t i) const { return members_[i].raft != nullptr; }
  const raft::Raft& raft(std::size_t i) const { return *members_[i].raft; }
  // Whether it would act as the leader at this instant, by its own clock.
  bool HoldsLeaderLease(std::size_t i) const;

  Links& links() { return links_; }
  // By its own clock.
  raft::Time LocalNow(std::size_t i) const { return LocalTime(members_[i]); }
  // Told each entry that a member learns to be committed; all of them again after a restart.
  std::function<void(std::size_t, const raft::Entry&)> on_committed;
  Instant now() const { return now_; }
  const std::vector<std::string>& violations() const { return violations_; }  // rules, as they broke
  const std::map<raft::Index, raft::Entry>& committed() const { return committed_; }
  std::uint64_t messages_sent() const { return messages_sent_; }

 private:
  struct Member {
    std::unique_ptr<raft::Raft> raft;
    raft::PersistentState persistent;
    std::vector<std::pair<Instant, raft::StorageUpdate>> pending_writes;  // in order; when each is synced
    std::vector<raft::SendMessage> unsent;
    std::uint64_t persisted_sequence = 0;
    double clock_rate = 1;
    raft::Time clock_origin{};
    Instant stalled_until{}, sync_duration{};
    std::uint64_t incarnation = 0;
  };
  struct Event {
    Instant at{};
    std::uint64_t event_order = 0;
    std::size_t member = 0;
    std::uint64_t incarnation = 0;  // of the member; a message outlives lives
    enum class EventKind { kStep, kMessage, kSynced } kind = EventKind::kStep;
    std::string from;
    std::shared_ptr<const raft::Message> message;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : event_order > other.event_order;
    }
  };

  raft::Time LocalTime(const Member& member) const;
  void Handle(const Event& event);
  void ProcessOutputs(std::size_t i);
  void SendPersisted(std::size_t i);
  void CheckInvariants(std::size_t i);  // checks the rules after its step

  Plan plan_;
  std::mt19937_64 random_;
  Links links_;
  Instant now_{};
  std::uint64_t next_event_order_ = 0, messages_sent_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Member> members_;
  std::map<raft::Term, std::string> leaders_;
  std::map<raft::Index, raft::Entry> committed_;
  std::vector<std::string> violations_;
};

// Writes a store's output into what is durable, as a disk would.
void ApplyUpdate(const raft::StorageUpdate& update, raft::PersistentState& persistent);

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_RAFT_CLUSTER_H_
