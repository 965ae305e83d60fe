#include "testing/simulation/config_replica_fleet.h"

#include <algorithm>
#include <charconv>

#include "peer_transport/frame.h"
#include "testing/simulation/processor_time.h"
#include "testing/simulation/raft_cluster.h"

namespace lemoncroft::simulation {

using namespace std::chrono_literals;
using replicated_config::Version;

namespace {
constexpr Instant kTick = 5ms;  // interval at which usable versions are recorded
constexpr const char* kFleet = "trial";

// Returns the bytes that a frame adds to its payload (peer_transport/frame.h).
std::size_t FrameBytes() {
  const std::string payload(100, 'x');
  return peer_transport::Encode(
             kFleet,
             peer_transport::AppMessage{UINT64_MAX, peer_transport::Subsystem::kReplicatedConfig, payload})
             .size() -
         payload.size();
}

replicated_config::DocumentChecks DocumentChecksOf(const std::string& name) {
  using replicated_config::DocumentRejection;
  using Cause = DocumentRejection::Cause;
  using Checked = tl::expected<void, DocumentRejection>;
  replicated_config::DocumentChecks checks;
  checks.check_successor = [](const replicated_config::VersionRecord*, const std::string& text) -> Checked {
    if (text.starts_with("wrong"))
      return tl::unexpected(DocumentRejection{Cause::kInvalid, "the document begins with \"wrong\""});
    return {};
  };
  checks.check_compatible = [name](const std::string& text) -> Checked {
    if (text.starts_with("not for " + name))
      return tl::unexpected(DocumentRejection{
          Cause::kIncompatible, "the document begins with \"not for \" and this machine's name"});
    return {};
  };
  checks.required_format = [](const std::string&) { return std::uint64_t{1}; };
  checks.isolation_duration = [](const std::string&) { return replicated_config::Duration(); };
  return checks;
}
}  // namespace

ConfigReplicaFleet::ConfigReplicaFleet(const Plan& plan)
    : plan_(plan), random_(plan.seed), links_(random_()), version_uses_(kTick, plan.stale_limit) {
  while (instances_per_incarnation_ <= plan.proxies) instances_per_incarnation_ *= 10;
  machines_.resize(plan.proxies);
  for (std::size_t i = 0; i < plan.proxies; ++i) {
    Machine& m = machines_[i];
    m.sync_duration = plan.sync_duration;
    m.clock_rate = 1 + plan.max_clock_drift * (2 * static_cast<double>(random_() >> 11) * 0x1.0p-53 - 1);
    m.clock_origin = raft::Time(Instant(static_cast<Instant::rep>(random_() % 1'000'000'000'000)));
    Restart(i);
  }
}

raft::Time ConfigReplicaFleet::LocalTime(const Machine& m) const {
  return m.clock_origin +
         Instant(static_cast<Instant::rep>(static_cast<double>(now_.count()) * m.clock_rate));
}

void ConfigReplicaFleet::Push(Instant at, std::size_t machine, ScheduledEvent::Kind kind,
                              std::uint64_t incarnation) {
  events_.push({at, next_event_order_++, machine, incarnation, kind, 0, nullptr});
}

void ConfigReplicaFleet::Crash(std::size_t i) {
  Machine& m = machines_[i];
  m.replica.reset();
  m.pending_writes.clear();
  m.stalled_until = now_;
}

replicated_config::ConfigReplicaOptions ConfigReplicaFleet::ReplicaOptionsOf(std::size_t i) const {
  replicated_config::ConfigReplicaOptions options;
  options.name = NameOf(i);
  for (std::size_t v = 0; v < plan_.voters; ++v) options.initial_voters.push_back(NameOf(v));
  options.raft_options = plan_.raft_options;
  options.lease = plan_.lease_options;
  options.safety_checks = plan_.safety_checks;
  return options;
}

void ConfigReplicaFleet::Restart(std::size_t i) {
  Machine& m = machines_[i];
  ++m.incarnation;
  m.active_version = 0;
  m.replica = std::make_unique<replicated_config::ConfigReplica>(
      ReplicaOptionsOf(i), InstanceOf(i), DocumentChecksOf(NameOf(i)), random_(), LocalTime(m));
  const bool votes = i < plan_.voters || m.disk.store != 0;
  if (votes) {
    if (m.disk.store == 0) m.disk.store = random_() | 1;
    m.replica->OnStoreOpened(LocalTime(m), {m.disk.store, m.disk.bootstrap_voters, m.disk.persistent_state});
  }
  HandleOutputs(i);
}

void ConfigReplicaFleet::Stall(std::size_t i, Instant span) { machines_[i].stalled_until = now_ + span; }

void ConfigReplicaFleet::BreakDisk(std::size_t i) {
  Machine& m = machines_[i];
  if (m.replica == nullptr) return;
  m.pending_writes.clear();
  m.replica->OnStoreClosed();
  HandleOutputs(i);
}

std::optional<std::size_t> ConfigReplicaFleet::Leader() const {
  for (std::size_t i = 0; i < machines_.size(); ++i)
    if (IsRunning(i) && machines_[i].replica->Leads(LocalTime(machines_[i]))) return i;
  return std::nullopt;
}

std::string ConfigReplicaFleet::Propose(std::size_t at, Version base_version, const std::string& text,
                                        Instant timeout) {
  Machine& m = machines_[at];
  replicated_config::ConfigChange change;
  change.id = "c" + std::to_string(++last_request_number_);
  change.base_version = base_version;
  change.document = text;
  change.author = NameOf(at);
  proposed_[change.id] = text;
  if (m.replica == nullptr) return change.id;
  m.replica->ProposeChange(LocalTime(m), change, LocalTime(m) + timeout);
  HandleOutputs(at);
  return change.id;
}

void ConfigReplicaFleet::ChangeVoters(std::size_t at, const std::string& name, bool add) {
  Machine& m = machines_[at];
  m.replica->ChangeVoters(LocalTime(m), {"v" + std::to_string(++last_request_number_), name, add},
                          LocalTime(m) + 5s);
  HandleOutputs(at);
}

void ConfigReplicaFleet::SendEncoded(std::size_t from, std::size_t to,
                                     const replicated_config::Message& message) {
  static const std::size_t kFrameBytes = FrameBytes();
  const auto bytes = std::make_shared<const std::string>(replicated_config::Encode(message));
  ++messages_sent_;
  ++machines_[from].sent.messages;
  machines_[from].sent.bytes += bytes->size() + kFrameBytes;
  links_.Send(
      now_, static_cast<Node>(from), static_cast<Node>(to), *bytes, [&](Instant at, const std::string& b) {
        events_.push({at, next_event_order_++, to, 0, ScheduledEvent::Kind::kMessage, InstanceOf(from),
                      b == *bytes ? bytes : std::make_shared<const std::string>(b)});
      });
}

void ConfigReplicaFleet::HandleDocument(std::size_t i, const replicated_config::DocumentReceived& received) {
  const auto [it, inserted] = documents_.try_emplace(received.version, received.document);
  if (!inserted && it->second != received.document)
    violations_.push_back("version " + std::to_string(received.version) + " has two different documents");
  Machine& m = machines_[i];
  if (received.document.starts_with("not for " + NameOf(i)))
    m.replica->MarkIncompatible(received.version);
  else
    m.replica->MarkPrepared(LocalTime(m), received.version);
}

void ConfigReplicaFleet::HandleOutput(std::size_t i, replicated_config::ConfigReplicaOutput& output) {
  Machine& m = machines_[i];
  if (const auto* send = std::get_if<replicated_config::SendMessage>(&output)) {
    const std::optional<std::size_t> to = MachineOf(send->to);
    if (to && *to != i) SendEncoded(i, *to, send->message);
  } else if (std::holds_alternative<replicated_config::Persist>(output) ||
             std::holds_alternative<replicated_config::PersistBootstrapVoters>(output)) {
    const Instant start = m.pending_writes.empty() ? now_ : std::max(now_, m.pending_writes.back().first);
    Push(start + m.sync_duration, i, ScheduledEvent::Kind::kSynced, m.incarnation);
    m.pending_writes.emplace_back(start + m.sync_duration, std::move(output));
  } else if (const auto* received = std::get_if<replicated_config::DocumentReceived>(&output)) {
    HandleDocument(i, *received);
  } else if (const auto* activated = std::get_if<replicated_config::VersionActivated>(&output)) {
    if (activated->version < m.active_version)
      violations_.push_back(NameOf(i) + " activated an older version than before");
    m.active_version = activated->version;
  } else if (const auto* completed = std::get_if<replicated_config::RequestCompleted>(&output)) {
    outcomes_[completed->outcome.id] = completed->outcome;
  }
}

void ConfigReplicaFleet::HandleOutputs(std::size_t i) {
  Machine& m = machines_[i];
  for (auto outputs = m.replica->TakeOutputs(); !outputs.empty(); outputs = m.replica->TakeOutputs())
    for (replicated_config::ConfigReplicaOutput& output : outputs) HandleOutput(i, output);
  ScheduleStep(i);
}

void ConfigReplicaFleet::ScheduleStep(std::size_t i) {
  const Machine& m = machines_[i];
  const raft::Time due = m.replica->NextDeadline();
  if (due == raft::kNever) return;
  const auto at = Instant(
      static_cast<Instant::rep>(static_cast<double>((due - m.clock_origin).count()) / m.clock_rate) + 1);
  Push(std::max(at, now_ + 1us), i, ScheduledEvent::Kind::kStep, m.incarnation);
}

std::optional<std::size_t> ConfigReplicaFleet::MachineOf(
    const std::variant<raft::NodeId, replicated_config::InstanceId>& to) const {
  std::size_t machine = machines_.size();
  if (const auto* name = std::get_if<raft::NodeId>(&to)) {
    if (!name->empty()) std::from_chars(name->data() + 1, name->data() + name->size(), machine);
  } else {
    machine = static_cast<std::size_t>((std::get<replicated_config::InstanceId>(to) - 1) %
                                       instances_per_incarnation_);
  }
  if (machine >= machines_.size()) return std::nullopt;
  const bool same = std::holds_alternative<raft::NodeId>(to)
                        ? std::get<raft::NodeId>(to) == NameOf(machine)
                        : std::get<replicated_config::InstanceId>(to) == InstanceOf(machine);
  return same ? std::optional(machine) : std::nullopt;
}

void ConfigReplicaFleet::HandleTimed(const ScheduledEvent& event) {
  const double start = ProcessorMicroseconds();
  Handle(event);
  machines_[event.machine].sent.processor_us += ProcessorMicroseconds() - start;
}

void ConfigReplicaFleet::Handle(const ScheduledEvent& event) {
  Machine& m = machines_[event.machine];
  if (m.replica == nullptr || (event.incarnation != 0 && event.incarnation != m.incarnation)) return;
  if (m.stalled_until > now_ && event.kind != ScheduledEvent::Kind::kSynced) {
    ScheduledEvent later = event;
    later.at = m.stalled_until;
    later.order = next_event_order_++;
    events_.push(std::move(later));
    return;
  }
  switch (event.kind) {
    case ScheduledEvent::Kind::kStep:
      if (m.replica->NextDeadline() > LocalTime(m)) return;  // the step was rescheduled
      m.replica->Tick(LocalTime(m));
      break;
    case ScheduledEvent::Kind::kMessage:
      if (const auto message = replicated_config::DecodeMessage(*event.bytes))
        m.replica->Receive(LocalTime(m), event.from, *message);
      break;
    case ScheduledEvent::Kind::kSynced:
      if (m.pending_writes.empty() || m.pending_writes.front().first > now_) return;
      CompleteWrite(event.machine);
      break;
  }
  HandleOutputs(event.machine);
}

void ConfigReplicaFleet::CompleteWrite(std::size_t i) {
  Machine& m = machines_[i];
  const replicated_config::ConfigReplicaOutput output = std::move(m.pending_writes.front().second);
  m.pending_writes.erase(m.pending_writes.begin());
  if (const auto* persist = std::get_if<replicated_config::Persist>(&output)) {
    ApplyUpdate(persist->update, m.disk.persistent_state);
    m.replica->OnPersisted(LocalTime(m), persist->update.sequence);
  } else if (const auto* bootstrap = std::get_if<replicated_config::PersistBootstrapVoters>(&output)) {
    m.disk.bootstrap_voters = bootstrap->bootstrap_voters;
    m.replica->OnBootstrapVotersPersisted(LocalTime(m));
  }
}

void ConfigReplicaFleet::RunFor(Instant span) {
  const Instant until = now_ + span;
  while (now_ < until) {
    const Instant tick = std::min(until, now_ + kTick);
    while (!events_.empty() && events_.top().at <= tick) {
      const ScheduledEvent event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      if (plan_.measure_processor_time)
        HandleTimed(event);
      else
        Handle(event);
    }
    now_ = tick;
    ObserveUse();
  }
}

std::optional<Version> ConfigReplicaFleet::UsableVersion(std::size_t i) const {
  const Machine& m = machines_[i];
  if (m.replica == nullptr || m.stalled_until > now_) return std::nullopt;
  const auto version = m.replica->UsableVersion(LocalTime(m));
  return version && *version == m.active_version ? version : std::nullopt;
}

void ConfigReplicaFleet::ObserveUse() {
  std::vector<Version> usable;
  std::size_t leaders = 0;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    const Machine& m = machines_[i];
    if (IsRunning(i) && m.stalled_until <= now_ && m.replica->Leads(LocalTime(m))) ++leaders;
    if (const auto version = UsableVersion(i)) usable.push_back(*version);
  }
  if (leaders > 1) violations_.push_back("two replicas lead at the same time");
  version_uses_.Observe(now_, usable);
}

bool ConfigReplicaFleet::AllUse(Version version) const {
  for (std::size_t i = 0; i < machines_.size(); ++i)
    if (IsRunning(i) && UsableVersion(i) != version) return false;
  return true;
}

}  // namespace lemoncroft::simulation
