#include "testing/simulation/peer_fleet.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace lemoncroft::simulation {

using namespace gossip;
using namespace std::chrono_literals;

namespace {
constexpr const char* kFleet = "trial";
constexpr Instant kStreamMessageDelay = 1ms;  // delay of one message of a state sync
constexpr Instant kStreamTimeout = 2s;        // a stream to a process that is paused for longer is abandoned
constexpr std::uint16_t kPort = 7100;
}  // namespace

PeerFleet::PeerFleet(const Options& options) : options_(options), random_(options.seed), links_(random_()) {}

PeerAddress PeerFleet::AddressOf(Node machine, bool use_second_address) {
  return {0x7f020000u + machine, static_cast<std::uint16_t>(kPort + (use_second_address ? 1 : 0))};
}

Time PeerFleet::LocalTime(const Running& r, Instant at) const {
  return r.clock_origin +
         Duration(static_cast<Duration::rep>(static_cast<double>(at.count()) * r.clock_rate));
}

// Rounds up so that no process is woken before its deadline.
Instant PeerFleet::TrueTime(const Running& r, Time local) const {
  return Instant(
      static_cast<Instant::rep>(static_cast<double>((local - r.clock_origin).count()) / r.clock_rate) + 1);
}

void PeerFleet::Schedule(Instant at, Kind kind, Process process, Process from, std::string bytes) {
  events_.push({at, next_event_order_++, kind, process, from, std::move(bytes)});
}

Process PeerFleet::Start(Node machine, const std::string& name, const std::vector<Node>& seeds,
                         bool use_second_address) {
  const Process p = processes_.size();
  Running& r = processes_.emplace_back();
  r.id = random_() | 1;
  r.machine = machine;
  r.address = AddressOf(machine, use_second_address);
  r.clock_rate = 1 + options_.max_clock_drift * (2 * static_cast<double>(random_() >> 11) * 0x1.0p-53 - 1);
  r.clock_origin = Time(Duration(static_cast<Duration::rep>(random_() % 1'000'000'000'000)));
  Settings settings = options_.settings;
  for (const Node seed : seeds) settings.seeds.push_back(AddressOf(seed, false));
  MemberRecord self;
  self.id = r.id;
  self.name = name;
  self.address = r.address;
  self.zone = "z" + std::to_string(machine % 3);
  self.phase = Phase::kServing;
  r.view = std::make_unique<MembershipView>(settings, self, random_(), LocalTime(r, now_));
  by_address_[r.address] = p;
  by_id_[r.id] = p;
  ++live_count_;
  DispatchOutputs(p);
  return p;
}

void PeerFleet::IntroduceAll() {
  SyncEntries all;
  for (Process p = 0; p < size(); ++p)
    if (is_running(p)) all.entries.push_back({Status::kAlive, view(p).members().own().record, kNoInstance});
  for (Process p = 0; p < size(); ++p) {
    if (!is_running(p)) continue;
    all.sender = all.entries[all.entries[0].record.id == id(p) ? all.entries.size() - 1 : 0].record;
    view(p).FinishSync(LocalTime(processes_[p], now_), all);
    DispatchOutputs(p);
  }
}

void PeerFleet::IntroduceWithDirectContact() {
  IntroduceAll();
  std::vector<Datagram> greetings;
  for (Process p = 0; p < size(); ++p)
    if (is_running(p))
      greetings.push_back({view(p).members().own().record, view(p).members().digest(), Gossip{}, {}});
  for (Process p = 0; p < size(); ++p) {
    if (!is_running(p)) continue;
    for (const Datagram& datagram : greetings)
      if (datagram.sender.id != id(p)) view(p).Receive(LocalTime(processes_[p], now_), datagram);
    DispatchOutputs(p);
  }
}

void PeerFleet::Kill(Process process) {
  Running& r = processes_[process];
  if (r.view == nullptr) return;
  r.view.reset();
  --live_count_;
  if (const auto it = by_address_.find(r.address); it != by_address_.end() && it->second == process)
    by_address_.erase(it);
}

void PeerFleet::Leave(Process process) {
  view(process).Leave(LocalTime(processes_[process], now_));
  DispatchOutputs(process);
  Schedule(now_ + options_.settings.probe_interval, Kind::kEnd, process);
}

void PeerFleet::Pause(Process process, Instant span) {
  Running& r = processes_[process];
  r.paused_until = std::max(r.paused_until, now_ + span);
}

void PeerFleet::SetPhase(Process process, Phase phase) {
  view(process).SetPhase(LocalTime(processes_[process], now_), phase);
  DispatchOutputs(process);
}

void PeerFleet::SetAttribute(Process process, const std::string& key, const std::string& value) {
  view(process).SetAttribute(LocalTime(processes_[process], now_), key, value);
  DispatchOutputs(process);
}

void PeerFleet::Inject(Node machine, const std::string& bytes) {
  if (const auto it = by_address_.find(AddressOf(machine, false)); it != by_address_.end())
    Schedule(now_ + 1us, Kind::kDatagram, it->second, 0, bytes);
}

std::optional<Process> PeerFleet::process_of(InstanceId id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? std::nullopt : std::optional(it->second);
}

void PeerFleet::CountSent(Process process, std::size_t bytes) {
  processes_[process].sent.messages += 1;
  processes_[process].sent.bytes += bytes;
}

void PeerFleet::CountSyncSent(Process process, std::size_t bytes) {
  CountSent(process, bytes);
  processes_[process].sent.sync_bytes += bytes;
}

void PeerFleet::Trace(Process process, const std::string& bytes) {
  trace_ = XXH3_64bits_withSeed(bytes.data(), bytes.size(),
                                trace_ + process + static_cast<std::uint64_t>(now_.count()));
}

void PeerFleet::DispatchOutputs(Process process) {
  Running& r = processes_[process];
  for (const Output& output : r.view->TakeOutputs()) {
    if (const auto* event = std::get_if<Event>(&output)) {
      if (on_event) on_event({now_, process, *event});
    } else if (const auto* transmit = std::get_if<Transmit>(&output)) {
      const std::string bytes = peer_transport::Encode(kFleet, transmit->datagram);
      CountSent(process, bytes.size());
      Trace(process, bytes);
      if (on_sent) on_sent(process, bytes);
      const auto to = by_address_.find(transmit->to);
      const Node machine = transmit->to.host - AddressOf(0, false).host;
      links_.Send(now_, r.machine, machine, bytes, [&](Instant at, std::string copy) {
        if (to != by_address_.end()) Schedule(at, Kind::kDatagram, to->second, process, std::move(copy));
      });
    } else if (const auto* sync = std::get_if<StateSync>(&output)) {
      const auto to = by_address_.find(sync->to);
      if (to == by_address_.end()) continue;
      std::string bytes = peer_transport::Encode(kFleet, r.view->StartSync(LocalTime(r, now_)));
      ++r.sent.syncs;
      CountSyncSent(process, bytes.size());
      Trace(process, bytes);
      Schedule(now_ + kStreamMessageDelay, Kind::kStream, to->second, process, std::move(bytes));
    }
  }
  const Instant due = std::max(now_, TrueTime(r, r.view->NextDeadline()));
  if (due < r.step_at) {
    r.step_at = due;
    Schedule(due, Kind::kStep, process);
  }
}

void PeerFleet::Handle(ScheduledEvent& event) {
  Running& r = processes_[event.process];
  if (r.view == nullptr) return;
  if (event.kind == Kind::kStep && event.at != r.step_at) return;  // the step was rescheduled
  if (r.paused_until > now_) {  // a paused process handles its events later, in order
    if (event.kind == Kind::kStream && r.paused_until - now_ > kStreamTimeout) return;
    if (event.kind == Kind::kStep) r.step_at = r.paused_until;
    Schedule(r.paused_until, event.kind, event.process, event.from, std::move(event.bytes));
    return;
  }
  const Time local = LocalTime(r, now_);
  switch (event.kind) {
    case Kind::kEnd:
      return Kill(event.process);
    case Kind::kStep:
      r.step_at = Instant::max();
      r.view->Tick(local);
      break;
    case Kind::kDatagram: {
      const auto message = peer_transport::Decode(kFleet, event.bytes, kMaxDatagramBytes);
      if (!message || !std::holds_alternative<Datagram>(*message)) return;
      r.view->Receive(local, std::get<Datagram>(*message));
      break;
    }
    case Kind::kStream: {
      Running& initiator = processes_[event.from];
      if (initiator.view == nullptr || !links_.IsOpen(initiator.machine, r.machine) ||
          !links_.IsOpen(r.machine, initiator.machine))
        return;
      const auto message =
          peer_transport::Decode(kFleet, event.bytes, peer_transport::kMaxStreamMessageBytes);
      if (!message) return;
      const auto* request = std::get_if<SyncRequest>(&*message);
      if (request == nullptr || initiator.paused_until > now_) return;
      // The three messages of a state sync are delivered at the same time; the fault tests on real sockets
      // cover interrupted syncs.
      const std::string response = peer_transport::Encode(kFleet, r.view->HandleSyncRequest(local, *request));
      CountSyncSent(event.process, response.size());
      Trace(event.process, response);
      const auto decoded_response =
          peer_transport::Decode(kFleet, response, peer_transport::kMaxStreamMessageBytes);
      if (!decoded_response) break;  // too long for a stream message: the sync is abandoned
      const SyncEntries final_entries = initiator.view->HandleSyncResponse(
          LocalTime(initiator, now_), std::get<SyncEntries>(*decoded_response));
      const std::string final_message = peer_transport::Encode(kFleet, final_entries);
      CountSyncSent(event.from, final_message.size());
      Trace(event.from, final_message);
      r.view->FinishSync(local, final_entries);
      DispatchOutputs(event.from);
      break;
    }
  }
  DispatchOutputs(event.process);
}

void PeerFleet::RunTo(Instant until) {
  while (!events_.empty() && events_.top().at <= until) {
    ScheduledEvent event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    Handle(event);
  }
  now_ = until;
}

bool PeerFleet::Converged() const {
  std::uint64_t digest = 0;
  for (Process p = 0; p < size(); ++p) {
    if (!is_running(p)) continue;
    const MemberTable& members = view(p).members();
    if (members.live_count() != live_count_) return false;
    if (digest == 0) digest = members.digest();
    if (members.digest() != digest) return false;
  }
  return true;
}

std::optional<Instant> PeerFleet::ConvergeWithin(Instant timeout) {
  const Instant since = now_;
  while (!Converged()) {
    if (now_ - since > timeout) return std::nullopt;
    RunFor(options_.settings.probe_interval / 4);
  }
  return now_ - since;
}

}  // namespace lemoncroft::simulation
