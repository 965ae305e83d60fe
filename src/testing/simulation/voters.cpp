#include "testing/simulation/voters.h"

#include <algorithm>

namespace lemoncroft::simulation {

using namespace raft;

void Apply(const StorageUpdate& store, PersistentState& durable) {
  durable.hard_state = store.hard_state;
  if (store.replaces_log) {
    durable.snapshot = store.snapshot;
    durable.log = store.entries;
    return;
  }
  std::erase_if(durable.log, [&](const Entry& entry) { return entry.index > store.truncate_after; });
  durable.log.insert(durable.log.end(), store.entries.begin(), store.entries.end());
}

Voters::Voters(const Plan& plan) : plan_(plan), random_(plan.seed), links_(random_()) {
  std::vector<NodeId> voters;
  for (std::size_t i = 0; i < plan.voting; ++i) voters.push_back(NameOf(i));
  members_.resize(plan.members);
  for (std::size_t i = 0; i < plan.members; ++i) {
    Member& m = members_[i];
    m.durable.snapshot.voters = voters;
    m.sync = plan.sync;
    m.rate = 1 + plan.drift * (2 * static_cast<double>(random_() >> 11) * 0x1.0p-53 - 1);
    m.origin = Time(Duration(static_cast<Duration::rep>(random_() % 1'000'000'000'000)));
    Restart(i);
  }
}

Time Voters::Local(const Member& m) const {
  return m.origin + Duration(static_cast<Duration::rep>(static_cast<double>(now_.count()) * m.rate));
}

void Voters::Crash(std::size_t i) {
  Member& m = members_[i];
  m.raft.reset();
  m.writing.clear();
  m.held.clear();
  ++m.life;
  m.held_until = now_;
}

void Voters::Restart(std::size_t i) {
  Member& m = members_[i];
  m.kept = 0;
  m.raft = std::make_unique<Raft>(plan_.settings, NameOf(i), m.durable, random_(), Local(m));
  Carry(i);
}

void Voters::Stall(std::size_t i, Instant span) { members_[i].held_until = now_ + span; }

bool Voters::Leads(std::size_t i) const {
  const Member& m = members_[i];
  return m.raft != nullptr && m.raft->Leads(Local(m));
}

std::optional<std::size_t> Voters::Leader() const {
  for (std::size_t i = 0; i < members_.size(); ++i)
    if (Leads(i)) return i;
  return std::nullopt;
}

ProposalResult Voters::Propose(std::size_t at, const std::string& data) {
  const ProposalResult proposed = members_[at].raft->Propose(Local(members_[at]), data);
  Carry(at);
  return proposed;
}

ProposalResult Voters::ChangeVoters(std::size_t at, const std::string& who, bool in) {
  const ProposalResult proposed = members_[at].raft->ChangeVoters(Local(members_[at]), who, in);
  Carry(at);
  return proposed;
}

void Voters::Resign(std::size_t at) {
  members_[at].raft->Resign(Local(members_[at]));
  Carry(at);
}

void Voters::Compact(std::size_t at) {
  Raft& raft = *members_[at].raft;
  raft.Compact(raft.commit(), "up to " + std::to_string(raft.commit()));
  Carry(at);
}

void Voters::Release(std::size_t i) {
  Member& m = members_[i];
  std::vector<SendMessage> ready;
  std::erase_if(m.held, [&](const SendMessage& send) {
    if (send.after > m.kept) return false;
    ready.push_back(send);
    return true;
  });
  for (const SendMessage& send : ready) {
    ++messages_;
    const auto message = std::make_shared<const Message>(send.message);
    const std::size_t to = static_cast<std::size_t>(send.to[0] - 'A');
    if (to == i) {
      queue_.push({now_, order_++, i, m.life, Happening::EntryKind::kMessage, send.to, message});
      continue;
    }
    links_.Send(now_, static_cast<Node>(i), static_cast<Node>(to), {}, [&](Instant at, const std::string&) {
      queue_.push({at, order_++, to, 0, Happening::EntryKind::kMessage, NameOf(i), message});
    });
  }
}

void Voters::Carry(std::size_t i) {
  Member& m = members_[i];
  for (const Output& output : m.raft->Take()) {
    if (const auto* store = std::get_if<StorageUpdate>(&output)) {
      const Instant begun = m.writing.empty() ? now_ : std::max(now_, m.writing.back().first);
      m.writing.emplace_back(begun + m.sync, *store);
      queue_.push({begun + m.sync, order_++, i, m.life, Happening::EntryKind::kSynced, {}, nullptr});
    } else if (const auto* send = std::get_if<SendMessage>(&output)) {
      m.held.push_back(*send);
    } else if (const auto* committed = std::get_if<Committed>(&output)) {
      const auto [it, fresh] = committed_.try_emplace(committed->entry.index, committed->entry);
      if (on_committed) on_committed(i, committed->entry);
      if (!fresh && it->second != committed->entry)
        broken_.push_back("two entries are committed as " + std::to_string(committed->entry.index));
    }
  }
  Release(i);
  Note(i);
  const Time due = m.raft->due();
  if (due == kNever) return;
  const auto at =
      Instant(static_cast<Instant::rep>(static_cast<double>((due - m.origin).count()) / m.rate) + 1);
  queue_.push({std::max(at, now_ + std::chrono::microseconds(1)),
               order_++,
               i,
               m.life,
               Happening::EntryKind::kStep,
               {},
               nullptr});
}

void Voters::Note(std::size_t i) {
  const Raft& raft = *members_[i].raft;
  if (raft.role() == Role::kLeader) {
    const auto [it, fresh] = leaders_.try_emplace(raft.term(), NameOf(i));
    if (!fresh && it->second != NameOf(i))
      broken_.push_back("two leaders in term " + std::to_string(raft.term()));
  }
  std::size_t leases = 0;
  for (std::size_t k = 0; k < members_.size(); ++k) leases += Leads(k);
  if (leases > 1) broken_.push_back("two hold the leader's lease at once");
}

void Voters::Handle(const Happening& h) {
  Member& m = members_[h.member];
  const bool of_life = h.kind != Happening::EntryKind::kMessage || h.life != 0;
  if (m.raft == nullptr || (of_life && h.kind != Happening::EntryKind::kMessage && h.life != m.life)) return;
  if (m.held_until > now_ && h.kind != Happening::EntryKind::kSynced) {
    Happening later = h;
    later.at = m.held_until;
    later.order = order_++;
    queue_.push(std::move(later));
    return;
  }
  switch (h.kind) {
    case Happening::EntryKind::kStep:
      if (m.raft->due() > Local(m)) return;  // planned anew since
      m.raft->Step(Local(m));
      break;
    case Happening::EntryKind::kMessage:
      m.raft->Receive(Local(m), h.from, *h.message);
      break;
    case Happening::EntryKind::kSynced: {
      if (m.writing.empty() || m.writing.front().first > now_) return;
      const StorageUpdate store = std::move(m.writing.front().second);
      m.writing.erase(m.writing.begin());
      if (!plan_.lie) Apply(store, m.durable);
      m.kept = store.number;
      m.raft->Stored(Local(m), store.number);
      break;
    }
  }
  Carry(h.member);
}

void Voters::RunTo(Instant until) {
  while (!queue_.empty() && queue_.top().at <= until) {
    const Happening h = queue_.top();
    queue_.pop();
    now_ = std::max(now_, h.at);
    Handle(h);
  }
  now_ = until;
}

}  // namespace lemoncroft::simulation
