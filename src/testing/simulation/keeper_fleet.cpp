#include "testing/simulation/keeper_fleet.h"

#include <algorithm>
#include <charconv>

#include "peer_transport/frame.h"
#include "testing/simulation/processor_time.h"
#include "testing/simulation/voters.h"

namespace lemoncroft::simulation {

using namespace std::chrono_literals;
using replicated_config::Version;

namespace {
constexpr Instant kTick = 5ms;  // at which acts are noted
constexpr const char* kFleet = "trial";

// Bytes that a frame adds to a message (peer_transport/frame.h).
std::size_t FrameBytes() {
  const std::string note(100, 'x');
  return peer_transport::Encode(
             kFleet,
             peer_transport::AppMessage{UINT64_MAX, peer_transport::Subsystem::kReplicatedConfig, note})
             .size() -
         note.size();
}
}  // namespace

KeeperFleet::KeeperFleet(const Plan& plan) : plan_(plan), random_(plan.seed), links_(random_()) {
  while (lives_apart_ <= plan.proxies) lives_apart_ *= 10;
  machines_.resize(plan.proxies);
  for (std::size_t i = 0; i < plan.proxies; ++i) {
    Machine& m = machines_[i];
    m.sync = plan.sync;
    m.rate = 1 + plan.drift * (2 * static_cast<double>(random_() >> 11) * 0x1.0p-53 - 1);
    m.origin = raft::Time(Instant(static_cast<Instant::rep>(random_() % 1'000'000'000'000)));
    Restart(i);
  }
}

raft::Time KeeperFleet::Local(const Machine& m) const {
  return m.origin + Instant(static_cast<Instant::rep>(static_cast<double>(now_.count()) * m.rate));
}

void KeeperFleet::Push(Instant at, std::size_t machine, Happening::Kind kind, std::uint64_t life) {
  queue_.push({at, order_++, machine, life, kind, 0, nullptr});
}

void KeeperFleet::Crash(std::size_t i) {
  Machine& m = machines_[i];
  m.keeper.reset();
  m.writing.clear();
  m.held_until = now_;
}

void KeeperFleet::Restart(std::size_t i) {
  Machine& m = machines_[i];
  ++m.life;
  m.applied = 0;
  replicated_config::KeeperTerms terms;
  terms.self = NameOf(i);
  for (std::size_t v = 0; v < plan_.voters; ++v) terms.first.push_back(NameOf(v));
  terms.log = plan_.log;
  terms.lease = plan_.lease;
  terms.guards = plan_.guards;
  replicated_config::Keeper::Checks checks;
  checks.check = [](const replicated_config::Written*, const std::string& text) {
    return text.starts_with("wrong") ? std::string("it is wrong") : std::string();
  };
  checks.carry = [i](const std::string& text) {
    return text.starts_with("not for " + NameOf(i)) ? std::string("so it says") : std::string();
  };
  checks.format = [](const std::string&) { return std::uint64_t{1}; };
  checks.lasts = [](const std::string&) { return replicated_config::Span(); };
  m.keeper = std::make_unique<replicated_config::Keeper>(terms, InstanceOf(i), checks, random_(), Local(m));
  const bool votes = i < plan_.voters || m.disk.store != 0;
  if (votes) {
    if (m.disk.store == 0) m.disk.store = random_() | 1;
    m.keeper->OpenStore(Local(m), {m.disk.store, m.disk.founders, m.disk.durable});
  }
  Carry(i);
}

void KeeperFleet::Stall(std::size_t i, Instant span) { machines_[i].held_until = now_ + span; }

void KeeperFleet::BreakDisk(std::size_t i) {
  Machine& m = machines_[i];
  if (m.keeper == nullptr) return;
  m.writing.clear();
  m.keeper->CloseStore();
  Carry(i);
}

std::optional<std::size_t> KeeperFleet::Leader() const {
  for (std::size_t i = 0; i < machines_.size(); ++i)
    if (Lives(i) && machines_[i].keeper->Leads(Local(machines_[i]))) return i;
  return std::nullopt;
}

std::string KeeperFleet::Propose(std::size_t at, Version from, const std::string& text, Instant patience) {
  Machine& m = machines_[at];
  replicated_config::Change change;
  change.id = "c" + std::to_string(++ids_);
  change.from = from;
  change.text = text;
  change.by = NameOf(at);
  proposed_[change.id] = text;
  if (m.keeper == nullptr) return change.id;
  m.keeper->ProposeChange(Local(m), change, Local(m) + patience);
  Carry(at);
  return change.id;
}

void KeeperFleet::ChangeVoters(std::size_t at, const std::string& who, bool in) {
  Machine& m = machines_[at];
  m.keeper->ChangeVoters(Local(m), {"v" + std::to_string(++ids_), who, in}, Local(m) + 5s);
  Carry(at);
}

void KeeperFleet::Post(std::size_t from, std::size_t to, const replicated_config::Note& note) {
  static const std::size_t kFrameBytes = FrameBytes();
  const auto bytes = std::make_shared<const std::string>(replicated_config::Encode(note));
  ++notes_;
  ++machines_[from].sent.notes;
  machines_[from].sent.bytes += bytes->size() + kFrameBytes;
  links_.Send(now_, static_cast<Node>(from), static_cast<Node>(to), *bytes,
              [&](Instant at, const std::string& b) {
                queue_.push({at, order_++, to, 0, Happening::Kind::kNote, InstanceOf(from),
                             b == *bytes ? bytes : std::make_shared<const std::string>(b)});
              });
}

void KeeperFleet::Carry(std::size_t i) {
  Machine& m = machines_[i];
  for (auto outputs = m.keeper->Take(); !outputs.empty(); outputs = m.keeper->Take()) {
    for (replicated_config::KeeperOutput& output : outputs) {
      if (const auto* post = std::get_if<replicated_config::Post>(&output)) {
        const std::optional<std::size_t> to = MachineOf(post->to);
        if (to && *to != i) Post(i, *to, post->note);
      } else if (std::holds_alternative<replicated_config::Keep>(output) ||
                 std::holds_alternative<replicated_config::KeepFounders>(output)) {
        const Instant begun = m.writing.empty() ? now_ : std::max(now_, m.writing.back().first);
        Push(begun + m.sync, i, Happening::Kind::kSynced, m.life);
        m.writing.emplace_back(begun + m.sync, std::move(output));
      } else if (const auto* learnt = std::get_if<replicated_config::Learnt>(&output)) {
        const auto [it, fresh] = texts_.try_emplace(learnt->version, learnt->text);
        if (!fresh && it->second != learnt->text)
          broken_.push_back("version " + std::to_string(learnt->version) + " has two texts");
        if (learnt->text.starts_with("not for " + NameOf(i)))
          m.keeper->CantCarry(learnt->version);
        else
          m.keeper->Prepared(Local(m), learnt->version);
      } else if (const auto* in_force = std::get_if<replicated_config::InForce>(&output)) {
        if (in_force->version < m.applied) broken_.push_back(NameOf(i) + " went back to an older version");
        m.applied = in_force->version;
      } else if (const auto* finished = std::get_if<replicated_config::Finished>(&output)) {
        outcomes_[finished->outcome.id] = finished->outcome;
      }
    }
  }
  const raft::Time due = m.keeper->due();
  if (due == raft::kNever) return;
  const auto at =
      Instant(static_cast<Instant::rep>(static_cast<double>((due - m.origin).count()) / m.rate) + 1);
  Push(std::max(at, now_ + 1us), i, Happening::Kind::kStep, m.life);
}

std::optional<std::size_t> KeeperFleet::MachineOf(
    const std::variant<raft::NodeId, replicated_config::Instance>& to) const {
  std::size_t machine = machines_.size();
  if (const auto* name = std::get_if<raft::NodeId>(&to)) {
    if (!name->empty()) std::from_chars(name->data() + 1, name->data() + name->size(), machine);
  } else {
    machine = static_cast<std::size_t>((std::get<replicated_config::Instance>(to) - 1) % lives_apart_);
  }
  if (machine >= machines_.size()) return std::nullopt;
  const bool same = std::holds_alternative<raft::NodeId>(to)
                        ? std::get<raft::NodeId>(to) == NameOf(machine)
                        : std::get<replicated_config::Instance>(to) == InstanceOf(machine);
  return same ? std::optional(machine) : std::nullopt;
}

void KeeperFleet::HandleTimed(const Happening& h) {
  const double begun = ProcessorMicroseconds();
  Handle(h);
  machines_[h.machine].sent.processor_us += ProcessorMicroseconds() - begun;
}

void KeeperFleet::Handle(const Happening& h) {
  Machine& m = machines_[h.machine];
  if (m.keeper == nullptr || (h.life != 0 && h.life != m.life)) return;
  if (m.held_until > now_ && h.kind != Happening::Kind::kSynced) {
    Happening later = h;
    later.at = m.held_until;
    later.order = order_++;
    queue_.push(std::move(later));
    return;
  }
  switch (h.kind) {
    case Happening::Kind::kStep:
      if (m.keeper->due() > Local(m)) return;  // planned anew since
      m.keeper->Step(Local(m));
      break;
    case Happening::Kind::kNote:
      if (const auto note = replicated_config::DecodeNote(*h.bytes))
        m.keeper->Receive(Local(m), h.from, *note);
      break;
    case Happening::Kind::kSynced: {
      if (m.writing.empty() || m.writing.front().first > now_) return;
      const replicated_config::KeeperOutput output = std::move(m.writing.front().second);
      m.writing.erase(m.writing.begin());
      if (const auto* keep = std::get_if<replicated_config::Keep>(&output)) {
        Apply(keep->store, m.disk.durable);
        m.keeper->Durable(Local(m), keep->store.number);
      } else if (const auto* founders = std::get_if<replicated_config::KeepFounders>(&output)) {
        m.disk.founders = founders->founders;
        m.keeper->FoundersKept(Local(m));
      }
      break;
    }
  }
  Carry(h.machine);
}

void KeeperFleet::RunFor(Instant span) {
  const Instant until = now_ + span;
  while (now_ < until) {
    const Instant tick = std::min(until, now_ + kTick);
    while (!queue_.empty() && queue_.top().at <= tick) {
      const Happening h = queue_.top();
      queue_.pop();
      now_ = std::max(now_, h.at);
      if (plan_.timed)
        HandleTimed(h);
      else
        Handle(h);
    }
    now_ = tick;
    Note();
  }
}

std::optional<Version> KeeperFleet::MayAct(std::size_t i) const {
  const Machine& m = machines_[i];
  if (m.keeper == nullptr || m.held_until > now_) return std::nullopt;
  const auto version = m.keeper->MayAct(Local(m));
  return version && *version == m.applied ? version : std::nullopt;
}

void KeeperFleet::Note() {
  std::set<Version> versions;
  std::size_t leaders = 0;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    leaders += Lives(i) && machines_[i].held_until <= now_ && machines_[i].keeper->Leads(Local(machines_[i]));
    const auto version = MayAct(i);
    if (!version) continue;
    versions.insert(*version);
    first_acted_.try_emplace(*version, now_);
    const auto later = first_acted_.upper_bound(*version);
    if (later != first_acted_.end() && now_ - later->second > plan_.stated) ++stale_;
  }
  if (leaders > 1) broken_.push_back("two lead at once");
  if (versions.size() < 2) {
    apart_since_.reset();
    return;
  }
  if (!apart_since_) apart_since_ = now_;
  longest_ = std::max(longest_, now_ - *apart_since_ + kTick);
}

bool KeeperFleet::AllOn(Version version) const {
  for (std::size_t i = 0; i < machines_.size(); ++i)
    if (Lives(i) && MayAct(i) != version) return false;
  return true;
}

}  // namespace lemoncroft::simulation
