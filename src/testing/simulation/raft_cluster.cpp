#include "testing/simulation/raft_cluster.h"

#include <algorithm>

namespace lemoncroft::simulation {

using namespace raft;

void ApplyUpdate(const StorageUpdate& update, PersistentState& persistent) {
  persistent.hard_state = update.hard_state;
  if (update.replaces_log) {
    persistent.snapshot = update.snapshot;
    persistent.log = update.entries;
    return;
  }
  std::erase_if(persistent.log, [&](const Entry& entry) { return entry.index > update.truncate_after; });
  persistent.log.insert(persistent.log.end(), update.entries.begin(), update.entries.end());
}

RaftCluster::RaftCluster(const Plan& plan) : plan_(plan), random_(plan.seed), links_(random_()) {
  std::vector<NodeId> voters;
  for (std::size_t i = 0; i < plan.initial_voters; ++i) voters.push_back(NameOf(i));
  members_.resize(plan.members);
  for (std::size_t i = 0; i < plan.members; ++i) {
    Member& member = members_[i];
    member.persistent.snapshot.voters = voters;
    member.sync_duration = plan.sync_duration;
    member.clock_rate = 1 + plan.max_clock_drift * (2 * static_cast<double>(random_() >> 11) * 0x1.0p-53 - 1);
    member.clock_origin = Time(Duration(static_cast<Duration::rep>(random_() % 1'000'000'000'000)));
    Restart(i);
  }
}

Time RaftCluster::LocalTime(const Member& member) const {
  return member.clock_origin +
         Duration(static_cast<Duration::rep>(static_cast<double>(now_.count()) * member.clock_rate));
}

void RaftCluster::Crash(std::size_t i) {
  Member& member = members_[i];
  member.raft.reset();
  member.pending_writes.clear();
  member.unsent.clear();
  ++member.incarnation;
  member.stalled_until = now_;
}

void RaftCluster::Restart(std::size_t i) {
  Member& member = members_[i];
  member.persisted_sequence = 0;
  member.raft =
      std::make_unique<Raft>(plan_.options, NameOf(i), member.persistent, random_(), LocalTime(member));
  ProcessOutputs(i);
}

void RaftCluster::Stall(std::size_t i, Instant duration) { members_[i].stalled_until = now_ + duration; }

bool RaftCluster::HoldsLeaderLease(std::size_t i) const {
  const Member& member = members_[i];
  return member.raft != nullptr && member.raft->HoldsLeaderLease(LocalTime(member));
}

std::optional<std::size_t> RaftCluster::Leader() const {
  for (std::size_t i = 0; i < members_.size(); ++i)
    if (HoldsLeaderLease(i)) return i;
  return std::nullopt;
}

ProposalResult RaftCluster::Propose(std::size_t i, const std::string& data) {
  const ProposalResult result = members_[i].raft->Propose(LocalNow(i), data);
  ProcessOutputs(i);
  return result;
}

ProposalResult RaftCluster::ChangeVoters(std::size_t i, const std::string& id, bool add) {
  const ProposalResult result = members_[i].raft->ChangeVoters(LocalNow(i), id, add);
  ProcessOutputs(i);
  return result;
}

void RaftCluster::TransferLeadership(std::size_t i) {
  members_[i].raft->TransferLeadership(LocalNow(i));
  ProcessOutputs(i);
}

void RaftCluster::Compact(std::size_t i) {
  Raft& raft = *members_[i].raft;
  raft.Compact(raft.commit_index(), "up to " + std::to_string(raft.commit_index()));
  ProcessOutputs(i);
}

// ---- Outputs ----

void RaftCluster::ProcessOutputs(std::size_t i) {
  for (const Output& output : members_[i].raft->TakeOutputs()) {
    if (const auto* update = std::get_if<StorageUpdate>(&output))
      StartWrite(i, *update);
    else if (const auto* send = std::get_if<SendMessage>(&output))
      members_[i].unsent.push_back(*send);
    else if (const auto* committed = std::get_if<Committed>(&output))
      RecordCommitted(i, committed->entry);
  }
  SendPersisted(i);
  CheckInvariants(i);
  ScheduleTick(i);
}

// A disk syncs its writes one after another.
void RaftCluster::StartWrite(std::size_t i, const StorageUpdate& update) {
  Member& member = members_[i];
  const Instant begun =
      member.pending_writes.empty() ? now_ : std::max(now_, member.pending_writes.back().synced_at);
  const Instant synced_at = begun + member.sync_duration;
  member.pending_writes.push_back({synced_at, update});
  events_.push({synced_at, next_event_order_++, i, member.incarnation, EventKind::kSynced, {}, nullptr});
}

void RaftCluster::RecordCommitted(std::size_t i, const Entry& entry) {
  const auto [it, inserted] = committed_.try_emplace(entry.index, entry);
  if (on_committed) on_committed(i, entry);
  if (!inserted && it->second != entry)
    violations_.push_back("two different entries are committed at index " + std::to_string(entry.index));
}

void RaftCluster::SendPersisted(std::size_t i) {
  Member& member = members_[i];
  std::vector<SendMessage> ready;
  std::erase_if(member.unsent, [&](const SendMessage& send) {
    if (send.after_sequence > member.persisted_sequence) return false;
    ready.push_back(send);
    return true;
  });
  for (const SendMessage& send : ready) {
    ++messages_sent_;
    const auto message = std::make_shared<const Message>(send.message);
    const std::size_t to = static_cast<std::size_t>(send.to[0] - 'A');
    if (to == i) {
      events_.push({now_, next_event_order_++, i, member.incarnation, EventKind::kMessage, send.to, message});
      continue;
    }
    links_.Send(now_, static_cast<Node>(i), static_cast<Node>(to), {}, [&](Instant at, const std::string&) {
      events_.push({at, next_event_order_++, to, 0, EventKind::kMessage, NameOf(i), message});
    });
  }
}

void RaftCluster::ScheduleTick(std::size_t i) {
  const Member& member = members_[i];
  const Time deadline = member.raft->NextDeadline();
  if (deadline == kNever) return;
  const double local_ns = static_cast<double>((deadline - member.clock_origin).count());
  const auto at = Instant(static_cast<Instant::rep>(local_ns / member.clock_rate) + 1);
  events_.push({std::max(at, now_ + std::chrono::microseconds(1)),
                next_event_order_++,
                i,
                member.incarnation,
                EventKind::kTick,
                {},
                nullptr});
}

void RaftCluster::CheckInvariants(std::size_t i) {
  const Raft& raft = *members_[i].raft;
  if (raft.role() == Role::kLeader) {
    const auto [it, inserted] = leaders_.try_emplace(raft.term(), NameOf(i));
    if (!inserted && it->second != NameOf(i))
      violations_.push_back("two leaders in term " + std::to_string(raft.term()));
  }
  std::size_t leases = 0;
  for (std::size_t k = 0; k < members_.size(); ++k) leases += HoldsLeaderLease(k);
  if (leases > 1) violations_.push_back("two members hold the leader lease at the same time");
}

// ---- Events ----

void RaftCluster::Handle(const Event& event) {
  Member& member = members_[event.member];
  if (member.raft == nullptr) return;
  if (event.kind != EventKind::kMessage && event.incarnation != member.incarnation) return;
  if (member.stalled_until > now_ && event.kind != EventKind::kSynced) {
    Event later = event;
    later.at = member.stalled_until;
    later.order = next_event_order_++;
    events_.push(std::move(later));
    return;
  }
  switch (event.kind) {
    case EventKind::kTick:
      if (member.raft->NextDeadline() > LocalTime(member))
        return;  // another event is scheduled for the new deadline
      member.raft->Tick(LocalTime(member));
      break;
    case EventKind::kMessage:
      member.raft->Receive(LocalTime(member), event.from, *event.message);
      break;
    case EventKind::kSynced:
      if (member.pending_writes.empty() || member.pending_writes.front().synced_at > now_) return;
      CompleteWrite(member);
      break;
  }
  ProcessOutputs(event.member);
}

void RaftCluster::CompleteWrite(Member& member) {
  const StorageUpdate update = std::move(member.pending_writes.front().update);
  member.pending_writes.erase(member.pending_writes.begin());
  if (!plan_.lose_synced_writes) ApplyUpdate(update, member.persistent);
  member.persisted_sequence = update.sequence;
  member.raft->OnPersisted(LocalTime(member), update.sequence);
}

void RaftCluster::RunTo(Instant until) {
  while (!events_.empty() && events_.top().at <= until) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    Handle(event);
  }
  now_ = until;
}

}  // namespace lemoncroft::simulation
