#include "testing/model_check/raft_model.h"

#include <algorithm>
#include <numeric>
#include <variant>

#include "testing/simulation/raft_cluster.h"

namespace lemoncroft::model_check {

using namespace raft;

namespace {

const Time kStart{std::chrono::hours(1)};

void Put(std::string& out, std::uint64_t value) { out += std::to_string(value) + ","; }

// All of a message but its beat, which is of leases alone.
std::string TextOf(const Message& message) {
  std::string out = std::to_string(message.index()) + ":";
  const auto entry = [&out](const Entry& e) {
    Put(out, e.term);
    Put(out, e.index);
    Put(out, static_cast<std::uint64_t>(e.kind));
    out += e.data + ";";
  };
  if (const auto* v = std::get_if<VoteRequest>(&message)) {
    Put(out, v->term), Put(out, v->last_index), Put(out, v->last_term), Put(out, v->leadership_transfer);
  } else if (const auto* a = std::get_if<VoteResponse>(&message)) {
    Put(out, a->term), Put(out, a->granted);
  } else if (const auto* m = std::get_if<AppendEntriesRequest>(&message)) {
    Put(out, m->term), Put(out, m->prev_index), Put(out, m->prev_term), Put(out, m->leader_commit);
    for (const Entry& e : m->entries) entry(e);
  } else if (const auto* r = std::get_if<AppendEntriesResponse>(&message)) {
    Put(out, r->term), Put(out, r->success), Put(out, r->match_index);
  }
  return out;
}

}  // namespace

RaftModel::RaftModel(const SafetyChecks& safety_checks, const RaftModelBudget& budget) : budget_(budget) {
  options_.safety_checks = safety_checks;
  // Elections come at any time here, so nothing may rest on when they don't.
  options_.safety_checks.pre_vote = options_.safety_checks.leader_stickiness =
      options_.safety_checks.vote_delay_after_restart = false;
  PersistentState fresh;
  for (std::size_t i = 0; i < kVoters; ++i) fresh.snapshot.voters.push_back(NameOf(i));
  for (std::size_t i = 0; i < kVoters; ++i)
    members_.push_back({Raft(options_, NameOf(i), fresh, 1, kStart), fresh, {}, {}, 0});
}

void RaftModel::ProcessOutputs(std::size_t i) {
  Member& m = members_[i];
  for (const Output& output : m.raft.TakeOutputs()) {
    if (const auto* store = std::get_if<StorageUpdate>(&output)) {
      m.pending_writes.push_back(*store);
    } else if (const auto* send = std::get_if<SendMessage>(&output)) {
      m.unsent.push_back(*send);
    } else if (const auto* committed = std::get_if<Committed>(&output)) {
      const auto [it, fresh] = committed_.try_emplace(committed->entry.index, committed->entry);
      if (!fresh && it->second != committed->entry) violation_ = "two entries are committed under one index";
    }
  }
  std::vector<SendMessage> unsent;
  unsent.swap(m.unsent);
  for (const SendMessage& send : unsent) {
    if (send.after_sequence > m.persisted_sequence) {
      m.unsent.push_back(send);
      continue;
    }
    const std::size_t to = static_cast<std::size_t>(send.to[0] - 'A');
    if (to == i) {
      m.raft.Receive(kStart, send.to, send.message);
      ProcessOutputs(i);
    } else if (network_.size() < budget_.max_in_flight) {  // else it is lost
      network_.push_back({i, to, send.message});
    }
  }
  CheckInvariants(i);
}

void RaftModel::CheckInvariants(std::size_t i) {
  const Raft& raft = members_[i].raft;
  if (raft.role() == Role::kLeader) {
    const auto [it, fresh] = leaders_.try_emplace(raft.term(), i);
    if (!fresh && it->second != i) violation_ = "two leaders in one term";
    // A leader holds all that is committed.
    for (const auto& [index, entry] : committed_) {
      const bool there = index <= raft.last_index() && raft.log()[index - 1] == entry;
      if (!there && raft.term() > entry.term) violation_ = "a leader lacks what is committed";
    }
  }
  for (std::size_t k = 0; k < kVoters; ++k) {
    const std::vector<Entry>&a = raft.log(), &b = members_[k].raft.log();
    bool same = false;
    for (std::size_t at = std::min(a.size(), b.size()); at-- > 0;) {
      if (a[at].term == b[at].term) same = true;
      if (same && a[at] != b[at]) violation_ = "logs that match do not match before";
    }
  }
}

void RaftModel::AppendSuccessors(std::vector<RaftModel>& into) const {
  const auto fork = [&]() -> RaftModel& { return into.emplace_back(*this); };
  for (std::size_t k = 0; k < network_.size(); ++k) {
    const bool duplicate = std::any_of(
        network_.begin(), network_.begin() + static_cast<std::ptrdiff_t>(k), [&](const Packet& other) {
          return other.from == network_[k].from && other.to == network_[k].to &&
                 other.message == network_[k].message;
        });
    if (duplicate) continue;  // the same as that one
    for (const bool duplicates : {false, true}) {
      if (duplicates && budget_.duplicates == 0) continue;
      RaftModel& world = fork();
      const Packet packet = network_[k];
      if (duplicates)
        --world.budget_.duplicates;
      else
        world.network_.erase(world.network_.begin() + static_cast<std::ptrdiff_t>(k));
      world.members_[packet.to].raft.Receive(kStart, NameOf(packet.from), packet.message);
      world.ProcessOutputs(packet.to);
    }
  }
  for (std::size_t i = 0; i < kVoters; ++i) {
    const Member& m = members_[i];
    if (!m.pending_writes.empty()) {
      RaftModel& world = fork();
      Member& own = world.members_[i];
      const StorageUpdate store = own.pending_writes.front();
      own.pending_writes.erase(own.pending_writes.begin());
      simulation::ApplyUpdate(store, own.persistent);
      own.persisted_sequence = store.sequence;
      own.raft.OnPersisted(kStart, store.sequence);
      world.ProcessOutputs(i);
    }
    if (m.raft.role() != Role::kLeader && budget_.elections > 0) {
      RaftModel& world = fork();
      --world.budget_.elections;
      world.members_[i].raft.Tick(m.raft.NextDeadline());
      world.ProcessOutputs(i);
    }
    if (m.raft.role() == Role::kLeader && budget_.heartbeats > 0) {
      RaftModel& world = fork();
      --world.budget_.heartbeats;
      world.members_[i].raft.Tick(m.raft.NextDeadline());
      world.ProcessOutputs(i);
    }
    if (m.raft.role() == Role::kLeader && budget_.proposals > 0) {
      RaftModel& world = fork();
      world.members_[i].raft.Propose(kStart,
                                     std::string(1, static_cast<char>('w' + world.budget_.proposals--)));
      world.ProcessOutputs(i);
    }
    if (budget_.crashes > 0) {
      RaftModel& world = fork();
      --world.budget_.crashes;
      Member& own = world.members_[i];
      own.pending_writes.clear();
      own.unsent.clear();
      own.persisted_sequence = 0;
      own.raft = Raft(options_, NameOf(i), own.persistent, 1, kStart);
    }
  }
}

std::string RaftModel::TextOf(std::size_t i) const {
  const Member& m = members_[i];
  std::string out = m.raft.Canonical() + "|";
  Put(out, m.persistent.hard_state.term);
  out += m.persistent.hard_state.voted_for + ";";
  for (const Entry& e : m.persistent.log) Put(out, e.term), out += e.data + ";";
  for (const StorageUpdate& store : m.pending_writes) {
    Put(out, store.hard_state.term);
    out += store.hard_state.voted_for + ";";
    Put(out, store.truncate_after);
    for (const Entry& e : store.entries) Put(out, e.term), out += e.data + ";";
  }
  for (const SendMessage& send : m.unsent)
    out += send.to + model_check::TextOf(send.message) +
           std::to_string(send.after_sequence - m.persisted_sequence);
  return out;
}

std::string RaftModel::Canonical() const {
  std::array<std::string, kVoters> texts;
  for (std::size_t i = 0; i < kVoters; ++i) texts[i] = TextOf(i);
  std::vector<std::string> packets;
  for (const Packet& packet : network_)
    packets.push_back(NameOf(packet.from) + NameOf(packet.to) + model_check::TextOf(packet.message));
  std::string budget;
  for (const int left :
       {budget_.elections, budget_.proposals, budget_.crashes, budget_.duplicates, budget_.heartbeats})
    Put(budget, static_cast<std::uint64_t>(left));
  std::array<std::size_t, kVoters> order{};
  std::iota(order.begin(), order.end(), 0);
  std::string smallest;
  do {
    // Voter order[k] is called k.
    const auto renamed = [&](std::string text) {
      for (char& c : text)
        for (std::size_t k = 0; k < kVoters; ++k)
          if (c == 'A' + static_cast<char>(order[k])) {
            c = static_cast<char>('A' + k);
            break;
          }
      return text;
    };
    std::string text = budget;
    for (const std::size_t i : order) text += renamed(texts[i]) + "#";
    std::vector<std::string> sorted;
    sorted.reserve(packets.size());
    for (const std::string& packet : packets) sorted.push_back(renamed(packet));
    std::sort(sorted.begin(), sorted.end());
    for (const std::string& packet : sorted) text += packet + "/";
    for (const auto& [term, leader] : leaders_) Put(text, term), text += renamed(NameOf(leader));
    for (const auto& [index, entry] : committed_) Put(text, index), Put(text, entry.term), text += entry.data;
    if (smallest.empty() || text < smallest) smallest = std::move(text);
  } while (std::next_permutation(order.begin(), order.end()));
  return smallest;
}

SearchResult SearchRaftModel(const SafetyChecks& safety_checks, const RaftModelBudget& budget,
                             std::uint64_t max_states) {
  return Search(
      RaftModel(safety_checks, budget),
      [](const RaftModel& world, std::vector<RaftModel>& into) { world.AppendSuccessors(into); },
      [](const RaftModel& world) { return world.Violation(); },
      [](const RaftModel& world) { return world.Canonical(); }, max_states);
}

}  // namespace lemoncroft::model_check
