// A simulated fleet of ConfigReplicas in virtual time, on simulated links, with clocks that drift, and with
// disks that are slow, lose unsynced writes, or fail. It checks the fleet's invariants while it runs.
//
// Deterministic for a seed. Owner: one test or measurement. The first machines are the voters. Messages
// travel encoded. All times are true time. A process that is resumed acts first, and handles its messages and
// timers afterwards.
#ifndef LEMONCROFT_TESTING_SIMULATION_CONFIG_REPLICA_FLEET_H_
#define LEMONCROFT_TESTING_SIMULATION_CONFIG_REPLICA_FLEET_H_

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "replicated_config/config_replica.h"
#include "testing/simulation/links.h"
#include "testing/simulation/version_use_recorder.h"

namespace lemoncroft::simulation {

class ConfigReplicaFleet {
 public:
  struct Plan {
    std::uint64_t seed = 1;
    std::size_t voters = 3, proxies = 7;
    replicated_config::LeaseOptions lease_options;
    raft::Options log;
    replicated_config::ConfigReplicaSafetyChecks safety_checks;
    double drift = 0.005;                                   // of each clock from true time
    Instant sync = std::chrono::milliseconds(2);            // of a disk
    Instant stale_limit = std::chrono::milliseconds(1200);  // T of docs/agreement.md
    bool timed = false;                                     // measure the processor time of each machine
  };
  explicit ConfigReplicaFleet(const Plan& plan);

  static std::string NameOf(std::size_t i) { return "p" + std::to_string(i); }
  void Crash(std::size_t i);
  void Restart(std::size_t i);
  void EraseDisk(std::size_t i) { machines_[i].disk = {}; }
  struct Disk {
    std::uint64_t store = 0;
    replicated_config::BootstrapVoters bootstrap_voters;
    raft::PersistentState persistent_state;
  };
  Disk& disk(std::size_t i) { return machines_[i].disk; }
  void Stall(std::size_t i, Instant span);
  void SlowDisk(std::size_t i, Instant sync) { machines_[i].sync = sync; }
  void BreakDisk(std::size_t i);  // this voter steps down; a restart heals it
  void Rate(std::size_t i, double rate) { machines_[i].rate = rate; }
  void RunFor(Instant span);

  // A document that begins with "not for " and a machine's name is incompatible there; one that begins with
  // "wrong" is invalid.
  std::string Propose(std::size_t at, replicated_config::Version from, const std::string& text,
                      Instant timeout = std::chrono::seconds(3));
  void ChangeVoters(std::size_t at, const std::string& who, bool in);
  const std::map<std::string, replicated_config::ChangeOutcome>& outcomes() const { return outcomes_; }

  std::optional<std::size_t> Leader() const;
  std::optional<replicated_config::Version> UsableVersion(std::size_t i) const;
  const replicated_config::ConfigReplica& replica(std::size_t i) const { return *machines_[i].replica; }
  bool IsRunning(std::size_t i) const { return machines_[i].replica != nullptr; }
  bool AllUse(replicated_config::Version version) const;  // all running machines
  Links& links() { return links_; }
  Instant now() const { return now_; }

  Instant contradiction() const { return version_uses_.longest_contradiction(); }
  std::uint64_t stale() const { return version_uses_.stale_uses(); }
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t messages() const { return message_count_; }
  struct Sent {
    std::uint64_t messages = 0, bytes = 0;  // with frames
    double processor_us = 0;                // in its replica and the message codec; 0: not timed
  };
  const Sent& sent(std::size_t i) const { return machines_[i].sent; }
  std::size_t size() const { return machines_.size(); }

 private:
  struct Machine {
    std::unique_ptr<replicated_config::ConfigReplica> replica;
    Disk disk;
    std::vector<std::pair<Instant, replicated_config::ConfigReplicaOutput>> pending_writes;
    double rate = 1;
    raft::Time origin{};
    Instant stalled_until{}, sync{};
    std::uint64_t incarnation = 0;
    replicated_config::Version active_version = 0;
    Sent sent;
  };
  struct ScheduledEvent {
    Instant at{};
    std::uint64_t order = 0;
    std::size_t machine = 0;
    std::uint64_t incarnation = 0;  // 0: any
    enum class Kind { kStep, kMessage, kSynced } kind = Kind::kStep;
    replicated_config::InstanceId from = 0;
    std::shared_ptr<const std::string> bytes;
    bool operator>(const ScheduledEvent& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  replicated_config::ConfigReplicaOptions ReplicaOptionsOf(std::size_t i) const;
  raft::Time Local(const Machine& m) const;
  replicated_config::InstanceId InstanceOf(std::size_t i) const {
    return instances_per_incarnation_ * machines_[i].incarnation + i + 1;
  }
  // The machine whose process now has that name or instance.
  std::optional<std::size_t> MachineOf(
      const std::variant<raft::NodeId, replicated_config::InstanceId>& to) const;
  void Push(Instant at, std::size_t machine, ScheduledEvent::Kind kind, std::uint64_t incarnation);
  void Handle(const ScheduledEvent& event);
  void HandleTimed(const ScheduledEvent& event);
  // Processes the outputs of the replica and schedules its next step.
  void HandleOutputs(std::size_t i);
  void HandleOutput(std::size_t i, replicated_config::ConfigReplicaOutput& output);
  void HandleDocument(std::size_t i, const replicated_config::DocumentReceived& document);
  void ScheduleStep(std::size_t i);
  void CompleteWrite(std::size_t i);
  void SendEncoded(std::size_t from, std::size_t to, const replicated_config::Message& message);
  void ObserveUse();

  Plan plan_;
  std::mt19937_64 random_;
  Links links_;
  Instant now_{};
  std::uint64_t order_ = 0, message_count_ = 0, ids_ = 0;
  replicated_config::InstanceId instances_per_incarnation_ = 1000;  // distance of a machine's instances
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> queue_;
  std::vector<Machine> machines_;
  std::map<std::string, replicated_config::ChangeOutcome> outcomes_;
  std::map<replicated_config::Version, std::string> documents_;  // as first seen
  std::map<std::string, std::string> proposed_;
  VersionUseRecorder version_uses_;
  std::vector<std::string> violations_;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_CONFIG_REPLICA_FLEET_H_
