#include "testing/model_check/log_world.h"

#include <algorithm>
#include <numeric>
#include <variant>

#include "testing/simulation/voters.h"

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
    Put(out, m->term), Put(out, m->prev_index), Put(out, m->prev_term), Put(out, m->commit);
    for (const Entry& e : m->entries) entry(e);
  } else if (const auto* r = std::get_if<AppendEntriesResponse>(&message)) {
    Put(out, r->term), Put(out, r->ok), Put(out, r->match);
  }
  return out;
}

}  // namespace

LogWorld::LogWorld(const SafetyChecks& guards, const LogBudget& budget) : left_(budget) {
  settings_.guards = guards;
  // Elections come at any time here, so nothing may rest on when they don't.
  settings_.guards.pre_vote = settings_.guards.sticky = settings_.guards.wait_after_start = false;
  PersistentState fresh;
  for (std::size_t i = 0; i < kVoters; ++i) fresh.snapshot.voters.push_back(NameOf(i));
  for (std::size_t i = 0; i < kVoters; ++i)
    members_.push_back({Raft(settings_, NameOf(i), fresh, 1, kStart), fresh, {}, {}, 0});
}

void LogWorld::Carry(std::size_t i) {
  Member& m = members_[i];
  for (const Output& output : m.raft.Take()) {
    if (const auto* store = std::get_if<StorageUpdate>(&output)) {
      m.writing.push_back(*store);
    } else if (const auto* send = std::get_if<SendMessage>(&output)) {
      m.held.push_back(*send);
    } else if (const auto* committed = std::get_if<Committed>(&output)) {
      const auto [it, fresh] = committed_.try_emplace(committed->entry.index, committed->entry);
      if (!fresh && it->second != committed->entry) wrong_ = "two entries are committed under one index";
    }
  }
  std::vector<SendMessage> held;
  held.swap(m.held);
  for (const SendMessage& send : held) {
    if (send.after > m.kept) {
      m.held.push_back(send);
      continue;
    }
    const std::size_t to = static_cast<std::size_t>(send.to[0] - 'A');
    if (to == i) {
      m.raft.Receive(kStart, send.to, send.message);
      Carry(i);
    } else if (letters_.size() < left_.on_their_way) {  // else it is lost
      letters_.push_back({i, to, send.message});
    }
  }
  Check(i);
}

void LogWorld::Check(std::size_t i) {
  const Raft& raft = members_[i].raft;
  if (raft.role() == Role::kLeader) {
    const auto [it, fresh] = leaders_.try_emplace(raft.term(), i);
    if (!fresh && it->second != i) wrong_ = "two leaders in one term";
    // A leader holds all that is committed.
    for (const auto& [index, entry] : committed_) {
      const bool there = index <= raft.last() && raft.log()[index - 1] == entry;
      if (!there && raft.term() > entry.term) wrong_ = "a leader lacks what is committed";
    }
  }
  for (std::size_t k = 0; k < kVoters; ++k) {
    const std::vector<Entry>&a = raft.log(), &b = members_[k].raft.log();
    bool same = false;
    for (std::size_t at = std::min(a.size(), b.size()); at-- > 0;) {
      if (a[at].term == b[at].term) same = true;
      if (same && a[at] != b[at]) wrong_ = "logs that match do not match before";
    }
  }
}

void LogWorld::Next(std::vector<LogWorld>& into) const {
  const auto fork = [&]() -> LogWorld& { return into.emplace_back(*this); };
  for (std::size_t k = 0; k < letters_.size(); ++k) {
    const bool again = std::any_of(letters_.begin(), letters_.begin() + static_cast<std::ptrdiff_t>(k),
                                   [&](const Letter& other) {
                                     return other.from == letters_[k].from && other.to == letters_[k].to &&
                                            other.message == letters_[k].message;
                                   });
    if (again) continue;  // the same as that one
    for (const bool doubled : {false, true}) {
      if (doubled && left_.doubled == 0) continue;
      LogWorld& world = fork();
      const Letter letter = letters_[k];
      if (doubled)
        --world.left_.doubled;
      else
        world.letters_.erase(world.letters_.begin() + static_cast<std::ptrdiff_t>(k));
      world.members_[letter.to].raft.Receive(kStart, NameOf(letter.from), letter.message);
      world.Carry(letter.to);
    }
  }
  for (std::size_t i = 0; i < kVoters; ++i) {
    const Member& m = members_[i];
    if (!m.writing.empty()) {
      LogWorld& world = fork();
      Member& own = world.members_[i];
      const StorageUpdate store = own.writing.front();
      own.writing.erase(own.writing.begin());
      simulation::Apply(store, own.durable);
      own.kept = store.number;
      own.raft.Stored(kStart, store.number);
      world.Carry(i);
    }
    if (m.raft.role() != Role::kLeader && left_.elections > 0) {
      LogWorld& world = fork();
      --world.left_.elections;
      world.members_[i].raft.Step(m.raft.due());
      world.Carry(i);
    }
    if (m.raft.role() == Role::kLeader && left_.beats > 0) {
      LogWorld& world = fork();
      --world.left_.beats;
      world.members_[i].raft.Step(m.raft.due());
      world.Carry(i);
    }
    if (m.raft.role() == Role::kLeader && left_.proposals > 0) {
      LogWorld& world = fork();
      world.members_[i].raft.Propose(kStart,
                                     std::string(1, static_cast<char>('w' + world.left_.proposals--)));
      world.Carry(i);
    }
    if (left_.crashes > 0) {
      LogWorld& world = fork();
      --world.left_.crashes;
      Member& own = world.members_[i];
      own.writing.clear();
      own.held.clear();
      own.kept = 0;
      own.raft = Raft(settings_, NameOf(i), own.durable, 1, kStart);
    }
  }
}

std::string LogWorld::TextOf(std::size_t i) const {
  const Member& m = members_[i];
  std::string out = m.raft.Canonical() + "|";
  Put(out, m.durable.hard_state.term);
  out += m.durable.hard_state.voted_for + ";";
  for (const Entry& e : m.durable.log) Put(out, e.term), out += e.data + ";";
  for (const StorageUpdate& store : m.writing) {
    Put(out, store.hard_state.term);
    out += store.hard_state.voted_for + ";";
    Put(out, store.truncate_after);
    for (const Entry& e : store.entries) Put(out, e.term), out += e.data + ";";
  }
  for (const SendMessage& send : m.held)
    out += send.to + model_check::TextOf(send.message) + std::to_string(send.after - m.kept);
  return out;
}

std::string LogWorld::Canonical() const {
  std::array<std::string, kVoters> texts;
  for (std::size_t i = 0; i < kVoters; ++i) texts[i] = TextOf(i);
  std::vector<std::string> letters;
  for (const Letter& letter : letters_)
    letters.push_back(NameOf(letter.from) + NameOf(letter.to) + model_check::TextOf(letter.message));
  std::string budget;
  for (const int left : {left_.elections, left_.proposals, left_.crashes, left_.doubled, left_.beats})
    Put(budget, static_cast<std::uint64_t>(left));
  std::array<std::size_t, kVoters> order{};
  std::iota(order.begin(), order.end(), 0);
  std::string least;
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
    sorted.reserve(letters.size());
    for (const std::string& letter : letters) sorted.push_back(renamed(letter));
    std::sort(sorted.begin(), sorted.end());
    for (const std::string& letter : sorted) text += letter + "/";
    for (const auto& [term, leader] : leaders_) Put(text, term), text += renamed(NameOf(leader));
    for (const auto& [index, entry] : committed_) Put(text, index), Put(text, entry.term), text += entry.data;
    if (least.empty() || text < least) least = std::move(text);
  } while (std::next_permutation(order.begin(), order.end()));
  return least;
}

Found SearchLog(const SafetyChecks& guards, const LogBudget& budget, std::uint64_t most) {
  return Search(
      LogWorld(guards, budget), [](const LogWorld& world, std::vector<LogWorld>& into) { world.Next(into); },
      [](const LogWorld& world) { return world.Wrong(); },
      [](const LogWorld& world) { return world.Canonical(); }, most);
}

}  // namespace lemoncroft::model_check
