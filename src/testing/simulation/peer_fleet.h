// Simulates a fleet of proxies in virtual time: the program's MembershipView and frames run on simulated
// links, with clocks that drift and processes that crash, pause, leave, restart and are replaced.
//
// Deterministic: the same seed and calls give the same trace of sent bytes. Times are true time since the
// start of the simulation; each process has its own clock. Processor time, bandwidth and full send buffers
// are not simulated.
#ifndef LEMONCROFT_TESTING_SIMULATION_PEER_FLEET_H_
#define LEMONCROFT_TESTING_SIMULATION_PEER_FLEET_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "gossip/membership_view.h"
#include "peer_transport/frame.h"
#include "testing/simulation/links.h"

namespace lemoncroft::simulation {

using Process = std::size_t;  // numbered in the order of their starts

class PeerFleet {
 public:
  struct Options {
    std::uint64_t seed = 1;
    gossip::Settings settings;
    double max_clock_drift = 0.01;  // maximum relative error of a clock's rate
  };
  struct ObservedEvent {  // an event that the view of a process reports
    Instant at{};
    Process process = 0;
    gossip::Event event;
  };
  struct SendTotals {
    std::uint64_t messages = 0, bytes = 0;
    std::uint64_t syncs = 0, sync_bytes = 0;  // syncs started; bytes of sync messages, also in `bytes`
  };

  explicit PeerFleet(const Options& options);

  // Starts a process on the machine's first address or, if `use_second_address`, on its second address next
  // to a running process. `seeds` are machines.
  Process Start(Node machine, const std::string& name, const std::vector<Node>& seeds,
                bool use_second_address = false);
  // Makes all running processes members of each other's views.
  void IntroduceAll();
  // Like IntroduceAll; in addition, each process receives a datagram from every other process.
  void IntroduceWithDirectContact();
  void Kill(Process process);
  void Leave(Process process);  // announces that it leaves, and ends one period later
  void Pause(Process process, Instant span);
  void SetPhase(Process process, gossip::Phase phase);
  void SetAttribute(Process process, const std::string& key, const std::string& value);
  void RunTo(Instant until);
  void RunFor(Instant span) { RunTo(now_ + span); }

  // Delivers bytes from an unknown sender to a machine's first address.
  void Inject(Node machine, const std::string& bytes);

  // Returns true if the live members in every view are exactly the running processes, with the same records.
  bool Converged() const;
  // Runs until the views converge and returns how long that took, or nullopt if `timeout` passes first.
  std::optional<Instant> ConvergeWithin(Instant timeout);

  Links& links() { return links_; }
  Instant now() const { return now_; }
  bool is_running(Process p) const { return processes_[p].view != nullptr; }
  std::size_t size() const { return processes_.size(); }
  std::size_t live_count() const { return live_count_; }
  gossip::MembershipView& view(Process p) { return *processes_[p].view; }
  const gossip::MembershipView& view(Process p) const { return *processes_[p].view; }
  gossip::InstanceId id(Process p) const { return processes_[p].id; }
  const SendTotals& sent(Process p) const { return processes_[p].sent; }
  std::optional<Process> process_of(gossip::InstanceId id) const;
  std::uint64_t trace() const { return trace_; }
  gossip::Duration Period() const { return options_.settings.probe_interval; }
  // Called for each event when it occurs.
  std::function<void(const ObservedEvent&)> on_event;
  // Called with the bytes of each datagram when it is sent.
  std::function<void(Process, const std::string&)> on_sent;

 private:
  enum class Kind { kStep, kDatagram, kStream, kEnd };
  struct ScheduledEvent {
    Instant at{};
    std::uint64_t order = 0;
    Kind kind = Kind::kStep;
    Process process = 0;
    Process from = 0;  // the sender, for kStream
    std::string bytes;
    bool operator>(const ScheduledEvent& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Running {
    std::unique_ptr<gossip::MembershipView> view;  // null once the process has ended
    gossip::InstanceId id = gossip::kNoInstance;
    Node machine = 0;
    gossip::PeerAddress address;
    double clock_rate = 1;
    gossip::Time clock_origin{};
    Instant paused_until{};
    Instant step_at = Instant::max();
    SendTotals sent;
  };

  static gossip::PeerAddress AddressOf(Node machine, bool use_second_address);
  gossip::Time LocalTime(const Running& r, Instant at) const;
  Instant TrueTime(const Running& r, gossip::Time local) const;
  void Schedule(Instant at, Kind kind, Process process, Process from = 0, std::string bytes = {});
  void Handle(ScheduledEvent& event);
  void DispatchOutputs(Process process);  // processes the outputs of the view
  void CountSent(Process process, std::size_t bytes);
  void CountSyncSent(Process process, std::size_t bytes);
  void Trace(Process process, const std::string& bytes);

  Options options_;
  std::mt19937_64 random_;
  Links links_;
  Instant now_{};
  std::uint64_t next_event_order_ = 0, trace_ = 0;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> events_;
  std::deque<Running> processes_;
  std::map<gossip::PeerAddress, Process> by_address_;
  std::map<gossip::InstanceId, Process> by_id_;
  std::size_t live_count_ = 0;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_PEER_FLEET_H_
