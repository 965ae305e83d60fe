// Simulates a fleet of ConfigReplicas in virtual time, on simulated links, with clocks that drift, and with
// disks that are slow, lose unsynced writes, or fail. Checks the fleet's invariants while it runs.
//
// Deterministic for a seed. The first machines are the voters. Messages are encoded for transmission. All
// times are true time, not the time of a machine's own clock. A process that resumes after a stall acts
// first, and handles its messages and timers afterwards.
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
    raft::Options raft_options;
    replicated_config::ConfigReplicaSafetyChecks safety_checks;
    double max_clock_drift = 0.005;                         // maximum relative error of a clock's rate
    Instant sync_duration = std::chrono::milliseconds(2);   // of each disk
    Instant stale_limit = std::chrono::milliseconds(1200);  // limit T in docs/agreement.md
    bool measure_processor_time = false;                    // of each machine
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
  void SlowDisk(std::size_t i, Instant sync_duration) { machines_[i].sync_duration = sync_duration; }
  // Closes the voter's store and drops its pending writes: the voter steps down. A restart opens the store
  // again.
  void BreakDisk(std::size_t i);
  void SetClockRate(std::size_t i, double clock_rate) { machines_[i].clock_rate = clock_rate; }
  void RunFor(Instant span);

  // A document that begins with "not for " and a machine's name is incompatible with that machine; a document
  // that begins with "wrong" is invalid. Returns the ID of the change.
  std::string Propose(std::size_t at, replicated_config::Version base_version, const std::string& text,
                      Instant timeout = std::chrono::seconds(3));
  void ChangeVoters(std::size_t at, const std::string& name, bool add);
  const std::map<std::string, replicated_config::ChangeOutcome>& outcomes() const { return outcomes_; }

  std::optional<std::size_t> Leader() const;
  std::optional<replicated_config::Version> UsableVersion(std::size_t i) const;
  const replicated_config::ConfigReplica& replica(std::size_t i) const { return *machines_[i].replica; }
  bool IsRunning(std::size_t i) const { return machines_[i].replica != nullptr; }
  // Returns true if all running machines can act on exactly this version.
  bool AllUse(replicated_config::Version version) const;
  Links& links() { return links_; }
  Instant now() const { return now_; }

  // See VersionUseRecorder.
  Instant longest_contradiction() const { return version_uses_.longest_contradiction(); }
  std::uint64_t stale_uses() const { return version_uses_.stale_uses(); }
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t messages_sent() const { return messages_sent_; }
  struct SendTotals {
    std::uint64_t messages = 0, bytes = 0;  // including frames
    double processor_us = 0;  // of the replica and the message codec; 0 unless `measure_processor_time`
  };
  const SendTotals& sent(std::size_t i) const { return machines_[i].sent; }
  std::size_t size() const { return machines_.size(); }

 private:
  struct Machine {
    std::unique_ptr<replicated_config::ConfigReplica> replica;
    Disk disk;
    std::vector<std::pair<Instant, replicated_config::ConfigReplicaOutput>> pending_writes;
    double clock_rate = 1;
    raft::Time clock_origin{};
    Instant stalled_until{}, sync_duration{};
    std::uint64_t incarnation = 0;
    replicated_config::Version active_version = 0;
    SendTotals sent;
  };
  struct ScheduledEvent {
    Instant at{};
    std::uint64_t order = 0;
    std::size_t machine = 0;
    std::uint64_t incarnation = 0;  // 0: any incarnation
    enum class Kind { kStep, kMessage, kSynced } kind = Kind::kStep;
    replicated_config::InstanceId from = 0;
    std::shared_ptr<const std::string> bytes;
    bool operator>(const ScheduledEvent& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  replicated_config::ConfigReplicaOptions ReplicaOptionsOf(std::size_t i) const;
  raft::Time LocalTime(const Machine& m) const;
  replicated_config::InstanceId InstanceOf(std::size_t i) const {
    return instances_per_incarnation_ * machines_[i].incarnation + i + 1;
  }
  // Returns the machine whose current process has this name or instance.
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
  std::uint64_t next_event_order_ = 0, messages_sent_ = 0, last_request_number_ = 0;
  replicated_config::InstanceId instances_per_incarnation_ = 1000;  // distance of a machine's instances
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> events_;
  std::vector<Machine> machines_;
  std::map<std::string, replicated_config::ChangeOutcome> outcomes_;
  std::map<replicated_config::Version, std::string> documents_;  // the first text seen of each version
  std::map<std::string, std::string> proposed_;
  VersionUseRecorder version_uses_;
  std::vector<std::string> violations_;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_CONFIG_REPLICA_FLEET_H_
