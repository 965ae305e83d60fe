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

void Put(std::string& out, const Entry& entry) {
  Put(out, entry.term);
  Put(out, entry.index);
  Put(out, static_cast<std::uint64_t>(entry.kind));
  out += entry.data + ";";
}

// Returns the text of a message without its heartbeat round, which matters only for leases.
std::string TextOf(const Message& message) {
  std::string out = std::to_string(message.index()) + ":";
  if (const auto* vote = std::get_if<VoteRequest>(&message)) {
    Put(out, vote->term);
    Put(out, vote->last_index);
    Put(out, vote->last_term);
    Put(out, vote->leadership_transfer);
  } else if (const auto* voted = std::get_if<VoteResponse>(&message)) {
    Put(out, voted->term);
    Put(out, voted->granted);
  } else if (const auto* append = std::get_if<AppendEntriesRequest>(&message)) {
    Put(out, append->term);
    Put(out, append->prev_index);
    Put(out, append->prev_term);
    Put(out, append->leader_commit);
    for (const Entry& entry : append->entries) Put(out, entry);
  } else if (const auto* appended = std::get_if<AppendEntriesResponse>(&message)) {
    Put(out, appended->term);
    Put(out, appended->success);
    Put(out, appended->match_index);
  }
  return out;
}

}  // namespace

RaftModel::RaftModel(const SafetyChecks& safety_checks, const RaftModelBudget& budget) : budget_(budget) {
  options_.safety_checks = safety_checks;
  // These checks depend on time, but in this model elections may start at any time.
  options_.safety_checks.pre_vote = false;
  options_.safety_checks.leader_stickiness = false;
  options_.safety_checks.vote_delay_after_restart = false;
  PersistentState initial;
  for (std::size_t i = 0; i < kVoters; ++i) initial.snapshot.voters.push_back(NameOf(i));
  for (std::size_t i = 0; i < kVoters; ++i)
    members_.push_back({Raft(options_, NameOf(i), initial, 1, kStart), initial, {}, {}, 0});
}

void RaftModel::ProcessOutputs(std::size_t i) {
  Member& member = members_[i];
  for (const Output& output : member.raft.TakeOutputs()) {
    if (const auto* update = std::get_if<StorageUpdate>(&output)) {
      member.pending_writes.push_back(*update);
    } else if (const auto* send = std::get_if<SendMessage>(&output)) {
      member.unsent.push_back(*send);
    } else if (const auto* committed = std::get_if<Committed>(&output)) {
      const auto [it, inserted] = committed_.try_emplace(committed->entry.index, committed->entry);
      if (!inserted && it->second != committed->entry)
        violation_ = "two different entries are committed at one index";
    }
  }
  SendPersisted(i);
  CheckInvariants(i);
}

// Sends the messages whose storage updates are durable.
void RaftModel::SendPersisted(std::size_t i) {
  Member& member = members_[i];
  std::vector<SendMessage> unsent;
  unsent.swap(member.unsent);
  for (const SendMessage& send : unsent) {
    if (send.after_sequence > member.persisted_sequence) {
      member.unsent.push_back(send);
      continue;
    }
    const std::size_t to = static_cast<std::size_t>(send.to[0] - 'A');
    if (to == i) {
      member.raft.Receive(kStart, send.to, send.message);
      ProcessOutputs(i);
    } else if (network_.size() < budget_.max_in_flight) {
      network_.push_back({i, to, send.message});
    }
  }
}

// ---- Invariants (paper, figure 3) ----

void RaftModel::CheckInvariants(std::size_t i) {
  if (members_[i].raft.role() == Role::kLeader) CheckLeader(i);
  CheckLogMatching(i);
}

// Election safety and leader completeness.
void RaftModel::CheckLeader(std::size_t i) {
  const Raft& raft = members_[i].raft;
  const auto [it, inserted] = leaders_.try_emplace(raft.term(), i);
  if (!inserted && it->second != i) violation_ = "two leaders in one term";
  for (const auto& [index, entry] : committed_) {
    const bool present = index <= raft.last_index() && raft.log()[index - 1] == entry;
    if (!present && raft.term() > entry.term) violation_ = "a leader lacks a committed entry";
  }
}

void RaftModel::CheckLogMatching(std::size_t i) {
  for (const Member& other : members_) {
    const std::vector<Entry>& a = members_[i].raft.log();
    const std::vector<Entry>& b = other.raft.log();
    bool matched = false;
    for (std::size_t position = std::min(a.size(), b.size()); position-- > 0;) {
      if (a[position].term == b[position].term) matched = true;
      if (matched && a[position] != b[position])
        violation_ = "two logs match at an index and differ before it";
    }
  }
}

// ---- Events ----

void RaftModel::AppendSuccessors(std::vector<RaftModel>& successors) const {
  AppendDeliveries(successors);
  for (std::size_t i = 0; i < kVoters; ++i) AppendEventsOf(i, successors);
}

// Delivers each message in flight, with or without a duplicate that stays in flight.
void RaftModel::AppendDeliveries(std::vector<RaftModel>& successors) const {
  for (std::size_t k = 0; k < network_.size(); ++k) {
    const Packet& packet = network_[k];
    const auto position = network_.begin() + static_cast<std::ptrdiff_t>(k);
    if (std::find(network_.begin(), position, packet) != position)
      continue;  // an equal packet leads to the same states
    for (const bool duplicated : {false, true}) {
      if (duplicated && budget_.duplicates == 0) continue;
      RaftModel& next = successors.emplace_back(*this);
      if (duplicated)
        --next.budget_.duplicates;
      else
        next.network_.erase(next.network_.begin() + static_cast<std::ptrdiff_t>(k));
      next.members_[packet.to].raft.Receive(kStart, NameOf(packet.from), packet.message);
      next.ProcessOutputs(packet.to);
    }
  }
}

// Appends the states after a write becomes durable, a timer fires, an entry is proposed, or the voter
// crashes.
void RaftModel::AppendEventsOf(std::size_t i, std::vector<RaftModel>& successors) const {
  const Member& member = members_[i];
  const bool leads = member.raft.role() == Role::kLeader;
  if (!member.pending_writes.empty()) {
    RaftModel& next = successors.emplace_back(*this);
    Member& changed = next.members_[i];
    const StorageUpdate update = changed.pending_writes.front();
    changed.pending_writes.erase(changed.pending_writes.begin());
    simulation::ApplyUpdate(update, changed.persistent);
    changed.persisted_sequence = update.sequence;
    changed.raft.OnPersisted(kStart, update.sequence);
    next.ProcessOutputs(i);
  }
  if (!leads && budget_.elections > 0) {
    RaftModel& next = successors.emplace_back(*this);
    --next.budget_.elections;
    next.members_[i].raft.Tick(member.raft.NextDeadline());
    next.ProcessOutputs(i);
  }
  if (leads && budget_.heartbeats > 0) {
    RaftModel& next = successors.emplace_back(*this);
    --next.budget_.heartbeats;
    next.members_[i].raft.Tick(member.raft.NextDeadline());
    next.ProcessOutputs(i);
  }
  if (leads && budget_.proposals > 0) {
    RaftModel& next = successors.emplace_back(*this);
    const int number = next.budget_.proposals--;
    next.members_[i].raft.Propose(kStart, std::string(1, static_cast<char>('w' + number)));
    next.ProcessOutputs(i);
  }
  if (budget_.crashes > 0) {
    RaftModel& next = successors.emplace_back(*this);
    --next.budget_.crashes;
    Member& changed = next.members_[i];
    changed.pending_writes.clear();
    changed.unsent.clear();
    changed.persisted_sequence = 0;
    changed.raft = Raft(options_, NameOf(i), changed.persistent, 1, kStart);
  }
}

// ---- Canonical text ----

std::string RaftModel::TextOf(std::size_t i) const {
  const Member& member = members_[i];
  std::string out = member.raft.CanonicalState() + "|";
  const auto put_entries = [&out](const std::vector<Entry>& entries) {
    for (const Entry& entry : entries) {
      Put(out, entry.term);
      out += entry.data + ";";
    }
  };
  Put(out, member.persistent.hard_state.term);
  out += member.persistent.hard_state.voted_for + ";";
  put_entries(member.persistent.log);
  for (const StorageUpdate& update : member.pending_writes) {
    Put(out, update.hard_state.term);
    out += update.hard_state.voted_for + ";";
    Put(out, update.truncate_after);
    put_entries(update.entries);
  }
  for (const SendMessage& send : member.unsent)
    out += send.to + model_check::TextOf(send.message) +
           std::to_string(send.after_sequence - member.persisted_sequence);
  return out;
}

std::string RaftModel::Canonical() const {
  std::array<std::string, kVoters> texts;
  for (std::size_t i = 0; i < kVoters; ++i) texts[i] = TextOf(i);
  std::vector<std::string> packets;
  for (const Packet& packet : network_)
    packets.push_back(NameOf(packet.from) + NameOf(packet.to) + model_check::TextOf(packet.message));
  std::string budget;
  for (const int remaining :
       {budget_.elections, budget_.proposals, budget_.crashes, budget_.duplicates, budget_.heartbeats})
    Put(budget, static_cast<std::uint64_t>(remaining));
  std::array<std::size_t, kVoters> order{};
  std::iota(order.begin(), order.end(), 0);
  std::string smallest;
  do {
    // Gives voter order[k] the name of voter k.
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
      [](const RaftModel& state, std::vector<RaftModel>& successors) { state.AppendSuccessors(successors); },
      [](const RaftModel& state) { return state.Violation(); },
      [](const RaftModel& state) { return state.Canonical(); }, max_states);
}

}  // namespace lemoncroft::model_check
