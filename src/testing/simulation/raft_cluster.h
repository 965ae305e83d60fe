// Simulates a Raft cluster in virtual time: the real state machines run on simulated links, with clocks that
// run at different rates, and with disks that need time to sync and lose unsynced writes.
//
// Deterministic for a seed. After every step the cluster checks its invariants: at most one leader in a term,
// one entry committed at an index, and one holder of the leader lease at a time. An Instant is true time; a
// raft::Time is the time of a member's own clock.
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
    std::size_t members = 3;
    std::size_t initial_voters = 3;  // the first members are the voters
    raft::Options options;
    double max_clock_drift = 0.005;                        // maximum relative error of a clock's rate
    Instant sync_duration = std::chrono::milliseconds(2);  // of each disk
    bool lose_synced_writes = false;  // the disks report syncs without storing the writes
  };

  explicit RaftCluster(const Plan& plan);

  // Members are named "A", "B", ... in the order of their numbers.
  static std::string NameOf(std::size_t i) { return std::string(1, static_cast<char>('A' + i)); }

  // ---- Faults ----
  void Crash(std::size_t i);
  void Restart(std::size_t i);
  // Suspends the member's process for `duration`. Its disk continues to sync.
  void Stall(std::size_t i, Instant duration);
  void SlowDisk(std::size_t i, Instant sync_duration) { members_[i].sync_duration = sync_duration; }
  Links& links() { return links_; }

  // ---- Time ----
  void RunFor(Instant duration) { RunTo(now_ + duration); }
  void RunTo(Instant until);
  Instant now() const { return now_; }
  raft::Time LocalNow(std::size_t i) const { return LocalTime(members_[i]); }

  // ---- Calls to a member, which must be running ----
  raft::ProposalResult Propose(std::size_t i, const std::string& data);
  raft::ProposalResult ChangeVoters(std::size_t i, const std::string& id, bool add);
  void TransferLeadership(std::size_t i);
  void Compact(std::size_t i);

  // ---- State ----
  // Returns the first member that holds the leader lease.
  std::optional<std::size_t> Leader() const;
  bool HoldsLeaderLease(std::size_t i) const;  // by the member's own clock
  bool IsRunning(std::size_t i) const { return members_[i].raft != nullptr; }
  const raft::Raft& raft(std::size_t i) const { return *members_[i].raft; }
  // Called for each entry that a member delivers as committed. After a restart a member delivers the entries
  // that follow its snapshot again.
  std::function<void(std::size_t, const raft::Entry&)> on_committed;
  const std::vector<std::string>& violations() const { return violations_; }  // of the invariants
  const std::map<raft::Index, raft::Entry>& committed() const { return committed_; }
  std::uint64_t messages_sent() const { return messages_sent_; }

 private:
  struct PendingWrite {
    Instant synced_at{};
    raft::StorageUpdate update;
  };
  struct Member {
    std::unique_ptr<raft::Raft> raft;  // null while the member is crashed
    raft::PersistentState persistent;
    std::vector<PendingWrite> pending_writes;  // in order
    std::vector<raft::SendMessage> unsent;     // messages that wait for pending writes
    std::uint64_t persisted_sequence = 0;
    double clock_rate = 1;
    raft::Time clock_origin{};
    Instant stalled_until{}, sync_duration{};
    std::uint64_t incarnation = 0;
  };
  enum class EventKind { kTick, kMessage, kSynced };
  struct Event {
    Instant at{};
    std::uint64_t order = 0;  // orders events at the same time
    std::size_t member = 0;
    std::uint64_t incarnation = 0;  // of the member; ignored for a message, which outlives a restart
    EventKind kind = EventKind::kTick;
    std::string from;                              // of kMessage
    std::shared_ptr<const raft::Message> message;  // of kMessage
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  raft::Time LocalTime(const Member& member) const;
  void Handle(const Event& event);
  void CompleteWrite(Member& member);
  void ProcessOutputs(std::size_t i);
  void StartWrite(std::size_t i, const raft::StorageUpdate& update);
  void SendPersisted(std::size_t i);
  void RecordCommitted(std::size_t i, const raft::Entry& entry);
  void ScheduleTick(std::size_t i);
  void CheckInvariants(std::size_t i);

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

// Applies a storage update to the durable state, as a voter's store does.
void ApplyUpdate(const raft::StorageUpdate& update, raft::PersistentState& persistent);

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_RAFT_CLUSTER_H_
