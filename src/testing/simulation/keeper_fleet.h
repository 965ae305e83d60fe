// A fleet that agrees on rules in virtual time: the real Keepers of all proxies, on stand-in links, clocks
// that run apart, and disks that take their time, lose what was not synced, or fail.
//
// Deterministic for a seed. Owned by one test or measurement. The first machines vote. Notes travel as bytes.
// Times are true time. A process that wakes acts first, and looks at its messages and timers then.
#ifndef LEMONCROFT_STANDIN_KEEPER_FLEET_H_
#define LEMONCROFT_STANDIN_KEEPER_FLEET_H_

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "replicated_config/keeper.h"
#include "testing/simulation/links.h"

namespace lemoncroft::simulation {

class KeeperFleet {
 public:
  struct Plan {
    std::uint64_t seed = 1;
    std::size_t voters = 3, proxies = 7;
    replicated_config::Terms lease;
    raft::Options log;
    replicated_config::KeeperGuards guards;
    double drift = 0.005;                              // of each clock from true time
    Instant sync = std::chrono::milliseconds(2);       // of a disk
    Instant stated = std::chrono::milliseconds(1200);  // T of docs/agreement.md
    bool timed = false;  // the processor time of each machine's steps is counted
  };
  explicit KeeperFleet(const Plan& plan);

  static std::string NameOf(std::size_t i) { return "p" + std::to_string(i); }
  void Crash(std::size_t i);
  void Restart(std::size_t i);
  void Wipe(std::size_t i) { machines_[i].disk = {}; }
  struct Disk {
    std::uint64_t store = 0;
    replicated_config::Founders founders;
    raft::PersistentState durable;
  };
  Disk& disk(std::size_t i) { return machines_[i].disk; }
  void Stall(std::size_t i, Instant span);
  void SlowDisk(std::size_t i, Instant sync) { machines_[i].sync = sync; }
  void BreakDisk(std::size_t i);  // this voter steps back; a restart mends it
  void Rate(std::size_t i, double rate) { machines_[i].rate = rate; }
  // A text that begins with "not for " and this name can't be carried there.
  void RunFor(Instant span);

  std::string Propose(std::size_t at, replicated_config::Version from, const std::string& text,
                      Instant patience = std::chrono::seconds(3));
  void ChangeVoters(std::size_t at, const std::string& who, bool in);
  const std::map<std::string, replicated_config::Outcome>& outcomes() const { return outcomes_; }

  std::optional<std::size_t> Leader() const;
  std::optional<replicated_config::Version> MayAct(std::size_t i) const;
  const replicated_config::Keeper& keeper(std::size_t i) const { return *machines_[i].keeper; }
  bool Lives(std::size_t i) const { return machines_[i].keeper != nullptr; }
  bool AllOn(replicated_config::Version version) const;  // that live
  Links& links() { return links_; }
  Instant now() const { return now_; }

  Instant contradiction() const { return longest_; }
  std::uint64_t stale() const { return stale_; }
  const std::vector<std::string>& broken() const { return broken_; }
  std::uint64_t notes() const { return notes_; }
  struct Sent {
    std::uint64_t notes = 0, bytes = 0;  // frames and all
    double processor_us = 0;             // within its Keeper and the codec of notes; 0: not timed
  };
  const Sent& sent(std::size_t i) const { return machines_[i].sent; }
  std::size_t size() const { return machines_.size(); }

 private:
  struct Machine {
    std::unique_ptr<replicated_config::Keeper> keeper;
    Disk disk;
    std::vector<std::pair<Instant, replicated_config::KeeperOutput>> writing;
    double rate = 1;
    raft::Time origin{};
    Instant held_until{}, sync{};
    std::uint64_t life = 0;
    replicated_config::Version applied = 0;
    Sent sent;
  };
  struct Happening {
    Instant at{};
    std::uint64_t order = 0;
    std::size_t machine = 0;
    std::uint64_t life = 0;  // 0: of any
    enum class Kind { kStep, kNote, kSynced } kind = Kind::kStep;
    replicated_config::Instance from = 0;
    std::shared_ptr<const std::string> bytes;
    bool operator>(const Happening& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  raft::Time Local(const Machine& m) const;
  replicated_config::Instance InstanceOf(std::size_t i) const {
    return lives_apart_ * machines_[i].life + i + 1;
  }
  // The machine whose process now has that name or instance.
  std::optional<std::size_t> MachineOf(
      const std::variant<raft::NodeId, replicated_config::Instance>& to) const;
  void Push(Instant at, std::size_t machine, Happening::Kind kind, std::uint64_t life);
  void Handle(const Happening& happening);
  void HandleTimed(const Happening& happening);
  void Carry(std::size_t i);
  void Post(std::size_t from, std::size_t to, const replicated_config::Note& note);
  void Note();

  Plan plan_;
  std::mt19937_64 random_;
  Links links_;
  Instant now_{};
  std::uint64_t order_ = 0, notes_ = 0, ids_ = 0;
  replicated_config::Instance lives_apart_ = 1000;  // between the instances of two lives of a machine
  std::priority_queue<Happening, std::vector<Happening>, std::greater<>> queue_;
  std::vector<Machine> machines_;
  std::map<std::string, replicated_config::Outcome> outcomes_;
  std::map<replicated_config::Version, std::string> texts_;  // as first seen anywhere
  std::map<std::string, std::string> proposed_;
  std::optional<Instant> apart_since_;
  Instant longest_{};
  std::map<replicated_config::Version, Instant> first_acted_;
  std::uint64_t stale_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_STANDIN_KEEPER_FLEET_H_
