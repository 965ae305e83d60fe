// A fleet of views in virtual time: the state machine and the frames that the program runs, on stand-in links
// and clocks that run apart, with processes that crash, stall, leave, restart and are replaced.
//
// Deterministic: the same seed and calls give the same trace, byte by byte. Owned by one test or measurement.
// Times are spans from the start, of true time; each process has a clock of its own. Not modelled: processor
// time, bandwidth, full send buffers.
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

using Process = std::size_t;  // in the order of their starts

class PeerFleet {
 public:
  struct Options {
    std::uint64_t seed = 1;
    gossip::Settings settings;
    double drift = 0.01;  // clocks run up to so much fast or slow
  };
  struct ObservedEvent {  // an event of a process's view
    Instant at{};
    Process process = 0;
    gossip::Event event;
  };
  struct SendTotals {
    std::uint64_t messages = 0, bytes = 0;
    std::uint64_t syncs = 0, sync_bytes = 0;  // of these: exchanges opened, and all their messages
  };

  explicit PeerFleet(const Options& options);

  // Starts a process on a machine (one address each; `second`: beside one that lives there). Its seeds are
  // machines.
  Process Start(Node machine, const std::string& name, const std::vector<Node>& seeds, bool second = false);
  // All that live know each other from here on, as after joins long ago.
  void IntroduceAll();
  // Likewise, and each has had a datagram of each: nobody is known by hearsay alone.
  void IntroduceWithDirectContact();
  void Kill(Process process);
  void Leave(Process process);  // says so, and ends a gossip beat later
  void Pause(Process process, Instant span);
  void SetPhase(Process process, gossip::Phase phase);
  void SetAttribute(Process process, const std::string& key, const std::string& value);
  void RunTo(Instant until);
  void RunFor(Instant span) { RunTo(now_ + span); }

  // Bytes that come to an address as if from nobody that this fleet knows.
  void Inject(Node machine, const std::string& bytes);

  // Every live process holds just the live ones for alive; with one of their records each.
  bool Converged() const;
  // Runs until they agree, at most `patience`; how long it took, none where they did not.
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
  gossip::Span Period() const { return options_.settings.probe_interval; }
  // Called for each event as it happens.
  std::function<void(const ObservedEvent&)> on_event;
  // Called for each datagram as it is sent: sees the real bytes.
  std::function<void(Process, const std::string&)> on_sent;

 private:
  enum class Kind { kStep, kDatagram, kStream, kEnd };
  struct ScheduledEvent {
    Instant at{};
    std::uint64_t order = 0;
    Kind kind = Kind::kStep;
    Process process = 0;
    Process from = 0;  // of a stream
    std::string bytes;
    bool operator>(const ScheduledEvent& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Running {
    std::unique_ptr<gossip::MembershipView> view;  // null: ended
    gossip::InstanceId id = gossip::kNoInstance;
    Node machine = 0;
    gossip::Endpoint address;
    double rate = 1;
    gossip::Time origin{};
    Instant paused_until{};
    Instant step_at = Instant::max();
    SendTotals sent;
  };

  static gossip::Endpoint AddressOf(Node machine, bool second);
  gossip::Time LocalTime(const Running& r, Instant at) const;
  Instant TrueTime(const Running& r, gossip::Time local) const;
  void Schedule(Instant at, Kind kind, Process process, Process from = 0, std::string bytes = {});
  void Handle(ScheduledEvent& happening);
  void DispatchOutputs(Process process);  // carries out what the view wants
  void CountSent(Process process, std::size_t bytes);
  void CountSyncSent(Process process, std::size_t bytes);
  void Trace(Process process, const std::string& bytes);

  Options options_;
  std::mt19937_64 random_;
  Links links_;
  Instant now_{};
  std::uint64_t order_ = 0, trace_ = 0;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> queue_;
  std::deque<Running> processes_;
  std::map<gossip::Endpoint, Process> by_address_;
  std::map<gossip::InstanceId, Process> ids_;
  std::size_t live_count_ = 0;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_PEER_FLEET_H_
