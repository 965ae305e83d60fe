#include "testing/simulation/peer_fleet.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace lemoncroft::simulation {

using namespace gossip;
using namespace std::chrono_literals;

namespace {
constexpr const char* kFleet = "trial";
constexpr Instant kStreamTrip = 1ms;     // of one message of an exchange
constexpr Instant kStreamPatience = 2s;  // a stream that is held for longer is given up
constexpr std::uint16_t kPort = 7100;
}  // namespace

PeerFleet::PeerFleet(const Plan& plan) : plan_(plan), random_(plan.seed), links_(random_()) {}

Endpoint PeerFleet::At(Node machine, bool second) {
  return {0x7f020000u + machine, static_cast<std::uint16_t>(kPort + (second ? 1 : 0))};
}

Time PeerFleet::Local(const Running& r, Instant at) const {
  return r.origin + Span(static_cast<Span::rep>(static_cast<double>(at.count()) * r.rate));
}

// Rounded up: a process must not be woken before its time has come.
Instant PeerFleet::True(const Running& r, Time local) const {
  return Instant(static_cast<Instant::rep>(static_cast<double>((local - r.origin).count()) / r.rate) + 1);
}

void PeerFleet::Put(Instant at, Kind kind, Process process, Process from, std::string bytes) {
  queue_.push({at, order_++, kind, process, from, std::move(bytes)});
}

Process PeerFleet::Start(Node machine, const std::string& name, const std::vector<Node>& seeds, bool second) {
  const Process p = processes_.size();
  Running& r = processes_.emplace_back();
  r.id = random_() | 1;
  r.machine = machine;
  r.address = At(machine, second);
  r.rate = 1 + plan_.drift * (2 * static_cast<double>(random_() >> 11) * 0x1.0p-53 - 1);
  r.origin = Time(Span(static_cast<Span::rep>(random_() % 1'000'000'000'000)));
  Settings settings = plan_.settings;
  for (const Node seed : seeds) settings.seeds.push_back(At(seed, false));
  Record self;
  self.id = r.id;
  self.name = name;
  self.address = r.address;
  self.zone = "z" + std::to_string(machine % 3);
  self.phase = Phase::kServing;
  r.view = std::make_unique<View>(settings, self, random_(), Local(r, now_));
  tenants_[r.address] = p;
  ids_[r.id] = p;
  ++living_;
  Carry(p);
  return p;
}

void PeerFleet::Introduce() {
  Entries all;
  for (Process p = 0; p < size(); ++p)
    if (lives(p)) all.entries.push_back({Status::kAlive, view(p).roster().own().record, kNobody});
  for (Process p = 0; p < size(); ++p) {
    if (!lives(p)) continue;
    all.sender = all.entries[all.entries[0].record.id == id(p) ? all.entries.size() - 1 : 0].record;
    view(p).Finish(Local(processes_[p], now_), all);
    Carry(p);
  }
}

void PeerFleet::IntroduceProven() {
  Introduce();
  std::vector<Datagram> said;
  for (Process p = 0; p < size(); ++p)
    if (lives(p)) said.push_back({view(p).roster().own().record, view(p).roster().digest(), Gossip{}, {}});
  for (Process p = 0; p < size(); ++p) {
    if (!lives(p)) continue;
    for (const Datagram& datagram : said)
      if (datagram.sender.id != id(p)) view(p).Receive(Local(processes_[p], now_), datagram);
    Carry(p);
  }
}

void PeerFleet::Kill(Process process) {
  Running& r = processes_[process];
  if (r.view == nullptr) return;
  r.view.reset();
  --living_;
  if (const auto it = tenants_.find(r.address); it != tenants_.end() && it->second == process)
    tenants_.erase(it);
}

void PeerFleet::Leave(Process process) {
  view(process).Leave(Local(processes_[process], now_));
  Carry(process);
  Put(now_ + plan_.settings.period, Kind::kEnd, process);
}

void PeerFleet::Stall(Process process, Instant span) {
  Running& r = processes_[process];
  r.held_until = std::max(r.held_until, now_ + span);
}

void PeerFleet::Say(Process process, Phase phase) {
  view(process).SetPhase(Local(processes_[process], now_), phase);
  Carry(process);
}

void PeerFleet::SetAttribute(Process process, const std::string& key, const std::string& value) {
  view(process).SetAttribute(Local(processes_[process], now_), key, value);
  Carry(process);
}

void PeerFleet::Inject(Node machine, const std::string& bytes) {
  if (const auto it = tenants_.find(At(machine, false)); it != tenants_.end())
    Put(now_ + 1us, Kind::kDatagram, it->second, 0, bytes);
}

std::optional<Process> PeerFleet::process_of(InstanceId id) const {
  const auto it = ids_.find(id);
  return it == ids_.end() ? std::nullopt : std::optional(it->second);
}

void PeerFleet::Count(Process process, std::size_t bytes) {
  processes_[process].sent.messages += 1;
  processes_[process].sent.bytes += bytes;
}

void PeerFleet::CountExchange(Process process, std::size_t bytes) {
  Count(process, bytes);
  processes_[process].sent.exchange_bytes += bytes;
}

void PeerFleet::Trace(Process process, const std::string& bytes) {
  trace_ = XXH3_64bits_withSeed(bytes.data(), bytes.size(),
                                trace_ + process + static_cast<std::uint64_t>(now_.count()));
}

void PeerFleet::Carry(Process process) {
  Running& r = processes_[process];
  for (const Output& output : r.view->Take()) {
    if (const auto* event = std::get_if<Event>(&output)) {
      if (on_event) on_event({now_, process, *event});
    } else if (const auto* transmit = std::get_if<Transmit>(&output)) {
      const std::string bytes = peer_transport::Encode(kFleet, transmit->datagram);
      Count(process, bytes.size());
      Trace(process, bytes);
      if (on_sent) on_sent(process, bytes);
      const auto to = tenants_.find(transmit->to);
      const Node machine = transmit->to.host - At(0, false).host;
      links_.Send(now_, r.machine, machine, bytes, [&](Instant at, std::string copy) {
        if (to != tenants_.end()) Put(at, Kind::kDatagram, to->second, process, std::move(copy));
      });
    } else if (const auto* exchange = std::get_if<Exchange>(&output)) {
      const auto to = tenants_.find(exchange->to);
      if (to == tenants_.end()) continue;
      std::string bytes = peer_transport::Encode(kFleet, r.view->Open(Local(r, now_)));
      ++r.sent.exchanges;
      CountExchange(process, bytes.size());
      Trace(process, bytes);
      Put(now_ + kStreamTrip, Kind::kStream, to->second, process, std::move(bytes));
    }
  }
  const Instant due = std::max(now_, True(r, r.view->due()));
  if (due < r.step_at) {
    r.step_at = due;
    Put(due, Kind::kStep, process);
  }
}

void PeerFleet::Handle(Happening& h) {
  Running& r = processes_[h.process];
  if (r.view == nullptr) return;
  if (h.kind == Kind::kStep && h.at != r.step_at) return;  // another one has been planned in its place
  if (r.held_until > now_) {                               // all of it waits, in its order
    if (h.kind == Kind::kStream && r.held_until - now_ > kStreamPatience) return;
    if (h.kind == Kind::kStep) r.step_at = r.held_until;
    Put(r.held_until, h.kind, h.process, h.from, std::move(h.bytes));
    return;
  }
  const Time local = Local(r, now_);
  switch (h.kind) {
    case Kind::kEnd:
      return Kill(h.process);
    case Kind::kStep:
      r.step_at = Instant::max();
      r.view->Step(local);
      break;
    case Kind::kDatagram: {
      const auto message = peer_transport::Decode(kFleet, h.bytes, kDatagramMost);
      const auto* good = std::get_if<peer_transport::Message>(&message);
      if (good == nullptr || !std::holds_alternative<Datagram>(*good)) return;
      r.view->Receive(local, std::get<Datagram>(*good));
      break;
    }
    case Kind::kStream: {
      Running& other = processes_[h.from];
      if (other.view == nullptr || !links_.Open(other.machine, r.machine) ||
          !links_.Open(r.machine, other.machine))
        return;
      const auto message = peer_transport::Decode(kFleet, h.bytes, peer_transport::kStreamMost);
      const auto* good = std::get_if<peer_transport::Message>(&message);
      if (good == nullptr) return;
      const auto* opening = std::get_if<Opening>(good);
      if (opening == nullptr || other.held_until > now_) return;
      // The three messages of an exchange are played in one instant: what a cut in the midst of one costs is
      // shown on real sockets.
      const std::string answer = peer_transport::Encode(kFleet, r.view->Answer(local, *opening));
      CountExchange(h.process, answer.size());
      Trace(h.process, answer);
      const auto answered = peer_transport::Decode(kFleet, answer, peer_transport::kStreamMost);
      const auto* entries = std::get_if<peer_transport::Message>(&answered);
      if (entries == nullptr) break;  // too long for a stream's message: it is given up
      const Entries last = other.view->Close(Local(other, now_), std::get<Entries>(*entries));
      const std::string closing = peer_transport::Encode(kFleet, last);
      CountExchange(h.from, closing.size());
      Trace(h.from, closing);
      r.view->Finish(local, last);
      Carry(h.from);
      break;
    }
  }
  Carry(h.process);
}

void PeerFleet::RunTo(Instant until) {
  while (!queue_.empty() && queue_.top().at <= until) {
    Happening h = queue_.top();
    queue_.pop();
    now_ = std::max(now_, h.at);
    Handle(h);
  }
  now_ = until;
}

bool PeerFleet::Agreed() const {
  std::uint64_t digest = 0;
  for (Process p = 0; p < size(); ++p) {
    if (!lives(p)) continue;
    const Roster& roster = view(p).roster();
    if (roster.living() != living_) return false;
    if (digest == 0) digest = roster.digest();
    if (roster.digest() != digest) return false;
  }
  return true;
}

std::optional<Instant> PeerFleet::SettleWithin(Instant patience) {
  const Instant since = now_;
  while (!Agreed()) {
    if (now_ - since > patience) return std::nullopt;
    RunFor(plan_.settings.period / 4);
  }
  return now_ - since;
}

}  // namespace lemoncroft::simulation
