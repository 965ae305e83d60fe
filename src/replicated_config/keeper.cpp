#include "replicated_config/keeper.h"

#include <algorithm>
#include <utility>

namespace lemoncroft::replicated_config {

using raft::NodeId;
using namespace std::chrono_literals;

namespace {

constexpr Span kAskAgain = 200ms;        // of the leader, for an operator
constexpr Span kRenewAgain = 120ms;      // of a lease, where the last asking has no answer
constexpr Span kHintAgain = 20ms;        // between two askings, where one was told whom to ask
constexpr Span kFetchAgain = 150ms;      // of a text
constexpr Span kGreetBeat = 200ms;       // of a voter that isn't let in yet ...
constexpr Span kBlankBeat = 1000ms;      // ... or was told to wait for an operator
constexpr Span kAdmissionMost = 1000ms;  // that a restarted voter waits for all others to tell what they know
constexpr Span kCarriersMost = 300ms;    // that the leader waits for proxies to say whether they can carry it
constexpr Span kPrepareMost = 2000ms;    // that a version waits for a proxy to prepare it
constexpr Span kInviteBeat = 200ms;
constexpr std::size_t kLogMost = 96;                             // entries, before a snapshot
constexpr std::uint64_t kLogBytesMost = std::uint64_t{1} << 20;  // likewise
constexpr std::size_t kAskedMost = 64;                           // of operators, at a time
constexpr int kRatesPart = 50;                                   // of a span: more than clocks may differ by
constexpr std::size_t kFormerMost = 4096;
constexpr std::size_t kBearersMost = 8192;

std::string KeyOf(Instance instance) { return std::to_string(instance); }

bool Has(const std::vector<NodeId>& names, const NodeId& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::vector<NodeId> NamesOf(const Founders& founders) {
  std::vector<NodeId> names;
  for (const auto& [name, store] : founders) names.push_back(name);
  return names;
}

}  // namespace

Keeper::Keeper(KeeperTerms terms, Instance self, Checks checks, std::uint64_t seed, Time now)
    : terms_(std::move(terms)),
      self_(self),
      checks_(std::move(checks)),
      random_(seed),
      holder_(terms_.lease),
      voters_(terms_.first),
      renew_at_(now),
      admission_(terms_.self, terms_.first, terms_.guards.admission),
      book_(terms_.guards.book),
      granter_(terms_.lease) {
  carried_.insert(0);  // before there are any rules: each proxy's own files
}

std::vector<KeeperOutput> Keeper::Take() { return std::exchange(outputs_, {}); }

// ---- Sending ----

void Keeper::Send(const std::variant<NodeId, Instance>& to, NoteBody body) {
  Note note{terms_.self, std::move(body)};
  const auto* name = std::get_if<NodeId>(&to);
  const auto* instance = std::get_if<Instance>(&to);
  if ((name != nullptr && *name == terms_.self) || (instance != nullptr && *instance == self_))
    to_self_.push_back(std::move(note));
  else
    outputs_.push_back(Post{to, std::move(note)});
}

void Keeper::ToLeader(NoteBody body) {
  if (!leader_.empty()) return Send(leader_, std::move(body));
  if (!voters_.empty()) Send(voters_[next_voter_++ % voters_.size()], std::move(body));
}

// ---- Time ----

Keeper::Time Keeper::due() const {
  Time due = renew_at_;
  for (const auto& [id, asked] : asked_) due = std::min({due, asked.again, asked.until});
  const auto& state = admission_.state();
  if (state && (*state == Admission::State::kAsking || *state == Admission::State::kBlank))
    due = std::min(due, greet_at_);
  if (raft_) due = std::min(due, raft_->NextDeadline());
  if (in_flight_ && !in_flight_->proposed) due = std::min(due, in_flight_->until);
  if (voters_in_flight_) due = std::min(due, invite_at_);
  return due;
}

void Keeper::Step(Time now) {
  if (raft_ && now >= raft_->NextDeadline()) raft_->Tick(now);
  Greeting(now);
  if (now >= renew_at_) Renewing(now);
  Asking(now);
  Settle(now);
}

// What a call has brought about is carried to its end: the log's outputs, notes to itself, what a leader
// owes.
void Keeper::Settle(Time now) {
  for (int round = 0; round < 16; ++round) {
    Collect(now);
    Lead(now);
    std::vector<Note> own = std::exchange(to_self_, {});
    if (own.empty()) break;
    for (const Note& note : own) std::visit([&](const auto& body) { On(now, self_, note, body); }, note.body);
  }
  Collect(now);
  FetchWanted(now);
  const Version in_force = holder_.in_force();
  if (in_force != told_in_force_ && carried_.contains(in_force)) {
    told_in_force_ = in_force;
    outputs_.push_back(InForce{in_force});
    std::erase_if(texts_, [&](const auto& text) { return text.first < in_force; });
    std::erase_if(carried_, [&](Version v) { return v < in_force; });
    std::erase_if(shown_, [&](Version v) { return v < in_force; });
  }
  if (std::exchange(apart_, holder_.rates_apart()) != holder_.rates_apart())
    Tell(true, holder_.rates_apart()
                   ? "this proxy's clock and the leader's run apart by more than they may: it is cut off"
                   : "this proxy's clock and the leader's run alike again");
}

void Keeper::Renewing(Time now) {
  // Where no answer came another may lead by now; soon, since the lease runs out.
  const bool late = now > granted_at_ + terms_.lease.beat * 3 / 2;
  if (late && !std::exchange(hinted_, false)) leader_.clear();
  renewed_at_ = now;
  renew_at_ = now + (late ? kRenewAgain : terms_.lease.beat);
  if (raft_ && !raft_->leader().empty()) leader_ = raft_->leader();
  ToLeader(Renew{holder_.Ask(now), terms_.format, refuses_});
}

void Keeper::Asking(Time now) {
  std::vector<Outcome> late;
  for (auto& [id, asked] : asked_) {
    if (now >= asked.until) {
      late.push_back({id, Verdict::kUnknown, holder_.newest(), "no leader of the voters answered in time"});
    } else if (now >= asked.again) {
      asked.again = now + kAskAgain;
      ToLeader(asked.body);
    }
  }
  for (const Outcome& outcome : late) Finish(outcome);
}

void Keeper::AskFor(Time now, const std::string& id, NoteBody body, Time until) {
  if (asked_.size() >= kAskedMost) {
    outputs_.push_back(Finished{{id, Verdict::kRefused, 0, "too many changes are asked for at once"}, {}});
    return;
  }
  asked_[id] = {std::move(body), until, now};
  Asking(now);
  Settle(now);
}

void Keeper::ProposeChange(Time now, const Change& change, Time until) {
  AskFor(now, change.id, Propose{change}, until);
}
void Keeper::ChangeVoters(Time now, const Voters& voters, Time until) {
  AskFor(now, voters.id, voters, until);
}
void Keeper::ReadAgreed(Time now, const std::string& id, Time until) { AskFor(now, id, Read{id}, until); }

void Keeper::Finish(const Outcome& outcome, std::optional<ReadOut> read) {
  if (asked_.erase(outcome.id) > 0) outputs_.push_back(Finished{outcome, std::move(read)});
}

void Keeper::Resign(Time now) {
  if (!raft_) return;
  raft_->TransferLeadership(now);
  Settle(now);
}

// ---- Texts ----

const std::string* Keeper::Text(Version version) const {
  if (const Written* written = raft_ ? book_.Find(version) : nullptr) return &written->text;
  const auto it = texts_.find(version);
  return it == texts_.end() ? nullptr : &it->second;
}

void Keeper::PutText(Version version, const std::string& text) {
  texts_[version] = text;
  if (shown_.insert(version).second) outputs_.push_back(Learnt{version, text});
}

// The one in force first, then the newest.
void Keeper::FetchWanted(Time now) {
  for (const Version wanted : {holder_.in_force(), holder_.newest()}) {
    if (carried_.contains(wanted) || shown_.contains(wanted)) continue;
    if (const std::string* text = Text(wanted)) {
      PutText(wanted, std::string(*text));
      continue;
    }
    if (now < fetch_again_) return;
    fetch_again_ = now + kFetchAgain;
    // Now of a voter, now of anyone.
    if (++fetches_ % 2 == 1 || peers_.empty())
      ToLeader(Fetch{wanted});
    else
      Send(peers_[random_() % peers_.size()], Fetch{wanted});
    return;
  }
}

void Keeper::Prepared(Time now, Version version) {
  carried_.insert(version);
  holder_.Prepared(version);
  renew_at_ = now;  // the leader need not wait for a beat to hear of it
  Settle(now);
}

void Keeper::CantCarry(Version version) { refuses_ = std::max(refuses_, version); }

std::optional<Version> Keeper::MayAct(Time now) const {
  const std::optional<Version> version = holder_.MayAct(now);
  return version && carried_.contains(*version) ? version : std::nullopt;
}

// ---- A voter's store and log ----

void Keeper::OpenStore(Time now, Stored stored) {
  CloseStore();
  restored_ = std::move(stored.durable);
  std::vector<NodeId> voters = restored_.snapshot.voters;
  for (const raft::Entry& entry : restored_.log)
    if (entry.kind == raft::EntryKind::kVoters) voters = entry.voters;
  if (voters.empty() && stored.founders.size() > 1) voters = NamesOf(stored.founders);
  Hello hello;
  hello.term = restored_.hard_state.term;
  hello.last = restored_.log.empty() ? restored_.snapshot.index : restored_.log.back().index;
  hello.last_term = restored_.log.empty() ? restored_.snapshot.term : restored_.log.back().term;
  admission_.Open(stored.store, std::move(stored.founders), voters, hello);
  if (admission_.state() == Admission::State::kFounding)
    outputs_.push_back(KeepFounders{admission_.founders()});
  greet_at_ = asked_since_ = now;
  Greeting(now);
  Settle(now);
}

void Keeper::CloseStore() {
  raft_.reset();
  held_.clear();
  durable_ = 0;
  admission_.Close();
  DropInFlight();
  reign_ = 0;
}

void Keeper::Greeting(Time now) {
  using State = Admission::State;
  const auto& state = admission_.state();
  if (!state || raft_) return;
  if (*state == State::kAsking && now >= asked_since_ + kAdmissionMost) admission_.Decide(false);
  if (*state == State::kFounding) return;
  if (*state == State::kGood) return StartVoting(now);
  if (*state == State::kOlder || now < greet_at_) return;
  greet_at_ = now + (*state == State::kAsking ? kGreetBeat : kBlankBeat);
  for (const NodeId& other : admission_.others()) Send(other, admission_.hello());
}

void Keeper::FoundersKept(Time now) {
  admission_.Kept();
  Greeting(now);
  Settle(now);
}

void Keeper::StartVoting(Time now) {
  const Founders& founders = admission_.founders();
  // Before a first snapshot the founders are those that the log began with. Who was let in later hears of the
  // voters by the log.
  const bool from_begin = restored_.snapshot.index == 0 && restored_.snapshot.voters.empty();
  if (from_begin && founders.size() == terms_.first.size()) restored_.snapshot.voters = NamesOf(founders);
  if (!book_.Restore(restored_.snapshot.data)) {
    Tell(true, "the snapshot in the store can't be read: this voter steps back");
    admission_.Close();
    return;
  }
  raft_ = std::make_unique<raft::Raft>(terms_.log, terms_.self, std::move(restored_), random_(), now);
  restored_ = {};
  Tell(false, "voter " + terms_.self + " takes part, term " + std::to_string(raft_->term()) + ", log up to " +
                  std::to_string(raft_->last_index()));
}

void Keeper::Durable(Time now, std::uint64_t number) {
  if (!raft_) return;
  durable_ = std::max(durable_, number);
  raft_->OnPersisted(now, number);
  Release(now);
  Settle(now);
}

void Keeper::Release(Time now) {
  std::vector<Held> ready;
  std::erase_if(held_, [&](Held& held) {
    if (held.after > durable_) return false;
    ready.push_back(std::move(held));
    return true;
  });
  for (Held& held : ready) {
    if (held.to == terms_.self)
      raft_->Receive(now, held.to, held.message);
    else
      Send(held.to, Logged{std::move(held.message)});
  }
}

void Keeper::Collect(Time now) {
  while (raft_) {
    const std::vector<raft::Output> outputs = raft_->TakeOutputs();
    if (outputs.empty()) return;
    for (const raft::Output& output : outputs) {
      if (const auto* store = std::get_if<raft::StorageUpdate>(&output))
        outputs_.push_back(Keep{*store});
      else if (const auto* send = std::get_if<raft::SendMessage>(&output))
        held_.push_back({send->to, send->message, send->after_sequence});
      else if (const auto* committed = std::get_if<raft::Committed>(&output))
        Applied(committed->entry);
      else if (const auto* restored = std::get_if<raft::SnapshotInstalled>(&output))
        book_.Restore(restored->snapshot.data);
    }
    CompactLog();
    Release(now);
  }
}

void Keeper::Applied(const raft::Entry& entry) {
  if (entry.kind != raft::EntryKind::kData) return;
  const Version before = book_.in_force();
  const std::optional<Outcome> outcome = book_.Apply(entry.data);
  if (book_.in_force() != before) Tell(false, "version " + std::to_string(book_.in_force()) + " is in force");
  if (!outcome) return;
  if (outcome->verdict == Verdict::kTaken)
    Tell(false, "version " + std::to_string(outcome->version) + " is committed, change " + outcome->id);
  if (!in_flight_ || in_flight_->change.id != outcome->id) return;
  TellOutcome(in_flight_->tell, *outcome);
  in_flight_.reset();
}

void Keeper::CompactLog() {
  std::uint64_t bytes = 0;
  for (const raft::Entry& entry : raft_->log()) bytes += entry.data.size();
  if (raft_->log().size() <= kLogMost && bytes <= kLogBytesMost) return;
  raft_->Compact(raft_->commit_index(), book_.Snapshot());
}

// ---- A leader ----

void Keeper::TellOutcome(const std::set<Instance>& to, const Outcome& outcome) {
  for (const Instance instance : to) Send(instance, Told{outcome});
}

// Who asked asks again, of whoever leads then.
void Keeper::DropInFlight() {
  in_flight_.reset();
  voters_in_flight_.reset();
}

void Keeper::Lead(Time now) {
  if (!raft_ || raft_->role() != raft::Role::kLeader) {
    if (std::exchange(reign_, 0) != 0) {
      DropInFlight();
      Tell(false, "leads no more");
    }
    return;
  }
  if (reign_ != raft_->term()) {
    reign_ = raft_->term();
    forcing_ = 0;
    bearers_.clear();
    DropInFlight();
    granter_.Begin(now, reign_);
    over_.clear();
    Tell(false, "leads in term " + std::to_string(reign_));
  }
  if (book_.newest() != newest_seen_) {
    newest_seen_ = book_.newest();
    newest_since_ = now;
  }
  for (const auto& [version, written] : book_.versions())
    if (version < book_.in_force()) over_.try_emplace(version, now);
  Enforce(now);
  if (in_flight_ && !in_flight_->proposed && (in_flight_->asked.empty() || now >= in_flight_->until))
    ProposeNow(now);
  if (voters_in_flight_) {
    const Voters& wanted = voters_in_flight_->voters;
    if (Has(raft_->voters(), wanted.who) == wanted.in && raft_->AreVotersCommitted()) {
      Send(voters_in_flight_->tell, Told{{wanted.id, Verdict::kTaken, book_.newest(), {}}});
      Tell(false, "voter " + wanted.who + (wanted.in ? " is let in" : " is out"));
      voters_in_flight_.reset();
    } else if (now >= invite_at_) {
      invite_at_ = now + kInviteBeat;
      // Once it is among the voters it has answered for something: another store of its must not take part.
      if (wanted.in && !Has(raft_->voters(), wanted.who)) Send(wanted.who, Invite{voters_in_flight_->store});
    }
  }
}

// Against the newest, and against all versions by which somebody who is cut off may still go on.
std::string Keeper::CheckAll(Time now, const std::string& text) const {
  if (book_.versions().empty()) return checks_.check(nullptr, text);
  for (const auto& [version, written] : book_.versions()) {
    const auto over = over_.find(version);
    const Span lasts = checks_.lasts(written.text);
    const Span most = terms_.lease.lease + lasts;
    if (version != book_.newest() && lasts <= Span::zero()) continue;
    if (version != book_.newest() && over != over_.end() && now > over->second + most + most / kRatesPart)
      continue;
    if (std::string why = checks_.check(&written, text); !why.empty()) return why;
  }
  return {};
}

// The newest version comes into force once all that may act have prepared it.
void Keeper::Enforce(Time now) {
  const Version newest = book_.newest();
  if (newest <= std::max(book_.in_force(), forcing_)) return;
  if (!granter_.MayEnforce(now, Leads(now), newest)) return;
  forcing_ = newest;
  raft_->Propose(now, EntryOf(newest));
}

void Keeper::ProposeNow(Time now) {
  in_flight_->proposed = true;
  const bool newest = in_flight_->change.from == book_.newest() || !terms_.guards.book.compare;
  if (!Leads(now) || !newest) {
    in_flight_.reset();  // its proposer asks again, and is told then
    return;
  }
  const raft::ProposalResult proposed = raft_->Propose(now, EntryOf(in_flight_->change));
  if (proposed.error != raft::ProposalError::kNone) in_flight_.reset();
}

std::map<std::string, Version> Keeper::Holders(Time now) const {
  std::map<std::string, Version> out;
  for (const auto& [key, prepared] : granter_.Live(now)) {
    const auto it = bearers_.find(std::strtoull(key.c_str(), nullptr, 10));
    out[it == bearers_.end() ? key : it->second.name + "/" + key] = prepared;
  }
  return out;
}

// ---- Notes ----

void Keeper::Receive(Time now, Instance from, const Note& note) {
  std::visit([&](const auto& body) { On(now, from, note, body); }, note.body);
  Settle(now);
}

void Keeper::On(Time now, Instance from, const Note& note, const Logged& n) {
  if (!raft_ || former_.contains(from)) return;
  processes_.try_emplace(note.from, from);
  admission_.Note(note.from, n.message);
  raft_->Receive(now, note.from, n.message);
}

void Keeper::On(Time now, Instance from, const Note& note, const Renew& n) {
  if (!Leads(now)) {
    const NodeId& other = raft_ ? raft_->leader() : leader_;
    if (from != self_) Send(from, Elsewhere{other == terms_.self ? NodeId() : other});
    return;
  }
  if (bearers_.size() >= kBearersMost) bearers_.clear();
  bearers_[from] = {note.from, n.format};
  // Who can't or doesn't prepare what is committed must not keep it from all others.
  const Version newest = book_.newest();
  const bool waits = newest > book_.in_force() && n.renewal.prepared < newest;
  if (terms_.guards.lapse_laggards && waits && (n.refuses >= newest || now > newest_since_ + kPrepareMost))
    return;
  const auto grant = granter_.Answer(now, true, KeyOf(from), n.renewal, book_.in_force(), newest);
  if (grant) Send(from, Granted{*grant, raft_->voters()});
}

void Keeper::On(Time now, Instance, const Note& note, const Granted& n) {
  granted_at_ = now;
  leader_ = note.from;
  if (!n.voters.empty()) voters_ = n.voters;
  holder_.Take(now, n.grant);
}

void Keeper::On(Time now, Instance, const Note& note, const Elsewhere& n) {
  if (n.leader.empty() || n.leader == note.from) {
    if (leader_ == note.from) leader_.clear();
    return;
  }
  const bool news = leader_ != n.leader;
  leader_ = n.leader;
  if (!news) return;
  // Of that one, and soon; but never as fast as notes go round, where nobody leads and all name another.
  hinted_ = true;
  const Time soon = std::max(now, renewed_at_ + kHintAgain);
  renew_at_ = std::min(renew_at_, soon);
  for (auto& [id, asked] : asked_) asked.again = std::min(asked.again, soon);
}

void Keeper::On(Time, Instance from, const Note&, const Fetch& n) {
  if (const std::string* text = Text(n.version)) Send(from, Fetched{n.version, *text});
}

void Keeper::On(Time now, Instance, const Note&, const Fetched& n) {
  const bool wanted = n.version == holder_.in_force() || n.version == holder_.newest();
  if (!wanted || carried_.contains(n.version) || n.text.size() > kTextMost) return;
  fetch_again_ = now;
  PutText(n.version, n.text);
}

void Keeper::On(Time now, Instance from, const Note&, const Propose& n) {
  if (!Leads(now)) {
    const NodeId& other = raft_ ? raft_->leader() : leader_;
    if (from != self_) Send(from, Elsewhere{other == terms_.self ? NodeId() : other});
    return;
  }
  const Change& change = n.change;
  const auto refuse = [&](Verdict verdict, std::string why) {
    Send(from, Told{{change.id, verdict, book_.newest(), std::move(why)}});
  };
  if (const Outcome* known = book_.OutcomeOf(change.id)) return Send(from, Told{*known});
  if (in_flight_ && in_flight_->change.id == change.id) {
    in_flight_->tell.insert(from);
    return;
  }
  if (change.from != book_.newest() && terms_.guards.book.compare) return refuse(Verdict::kConflict, {});
  if (in_flight_) return;  // it asks again, and will find another version
  if (change.text.size() > kTextMost)
    return refuse(Verdict::kRefused, "a document of " + std::to_string(change.text.size()) +
                                         " bytes is too long: at most " + std::to_string(kTextMost));
  if (change.id.empty() || change.id.size() > kIdMost || change.by.size() > kByMost)
    return refuse(Verdict::kRefused, "a change needs an id, and names of at most 64 bytes");
  if (std::string why = CheckAll(now, change.text); !why.empty())
    return refuse(Verdict::kRefused, std::move(why));
  InFlight fresh;
  fresh.change = change;
  fresh.tell = {from};
  fresh.until = now + kCarriersMost;
  if (terms_.guards.ask_carriers) {
    const std::uint64_t format = checks_.format(change.text);
    if (std::string why = checks_.carry(change.text); !why.empty())
      return refuse(Verdict::kRefused, terms_.self + " can't carry it: " + why);
    for (const auto& [key, prepared] : granter_.Live(now)) {
      const Instance holder = std::strtoull(key.c_str(), nullptr, 10);
      const auto bearer = bearers_.find(holder);
      if (holder == self_ || bearer == bearers_.end()) continue;
      if (bearer->second.format < format)
        return refuse(Verdict::kRefused, bearer->second.name + " can't carry it: its program reads format " +
                                             std::to_string(bearer->second.format) + ", not " +
                                             std::to_string(format));
      fresh.asked.insert(holder);
    }
  }
  in_flight_ = std::move(fresh);
  for (const Instance holder : in_flight_->asked) Send(holder, Ask{change.id, change.text});
}

void Keeper::On(Time, Instance, const Note&, const Told& n) { Finish(n.outcome); }

void Keeper::On(Time, Instance from, const Note&, const Ask& n) {
  Send(from, Answer{n.id, checks_.carry(n.text)});
}

void Keeper::On(Time, Instance from, const Note& note, const Answer& n) {
  if (!in_flight_ || in_flight_->change.id != n.id || in_flight_->proposed) return;
  if (n.why.empty()) {
    in_flight_->asked.erase(from);
    return;
  }
  TellOutcome(in_flight_->tell,
              {n.id, Verdict::kRefused, book_.newest(), note.from + " can't carry it: " + n.why});
  in_flight_.reset();
}

void Keeper::On(Time now, Instance from, const Note&, const Voters& n) {
  if (!Leads(now)) {
    if (from != self_) Send(from, Elsewhere{raft_ ? raft_->leader() : leader_});
    return;
  }
  const auto refuse = [&](std::string why) {
    Send(from, Told{{n.id, Verdict::kRefused, book_.newest(), std::move(why)}});
  };
  if (Has(raft_->voters(), n.who) == n.in && raft_->AreVotersCommitted())
    return Send(from,
                Told{{n.id, Verdict::kTaken, book_.newest(), n.in ? "it votes already" : "it has no vote"}});
  if (n.in && !admission_.StoreOf(n.who))
    return refuse(n.who + " has not told of an empty store: is it running, with a `store`?");
  if (!n.in && raft_->voters().size() == 1) return refuse("it is the last voter");
  if (voters_in_flight_ && voters_in_flight_->voters.id != n.id) return;  // it asks again
  raft_->ChangeVoters(now, n.who, n.in);
  if (!voters_in_flight_) voters_in_flight_ = VotersInFlight{n, from, admission_.StoreOf(n.who).value_or(0)};
  voters_in_flight_->tell = from;
  invite_at_ = now;
}

void Keeper::On(Time now, Instance from, const Note&, const Read& n) {
  if (Leads(now)) return Send(from, ReadOut{n.id, book_.newest(), book_.in_force(), raft_->voters()});
  if (from != self_) Send(from, Elsewhere{raft_ ? raft_->leader() : leader_});
}

void Keeper::On(Time, Instance, const Note&, const ReadOut& n) {
  Finish({n.id, Verdict::kTaken, n.newest, {}}, n);
}

void Keeper::On(Time, Instance from, const Note& note, const Hello& n) {
  if (former_.contains(from)) return;
  const auto [it, fresh] = processes_.try_emplace(note.from, from);
  if (!fresh && it->second != from) {
    if (former_.size() >= kFormerMost) former_.clear();
    former_.insert(std::exchange(it->second, from));
  }
  if (admission_.state()) Send(from, admission_.Greet(note.from, n));
}

void Keeper::On(Time now, Instance, const Note& note, const HelloAnswer& n) {
  using State = Admission::State;
  const auto before = admission_.state();
  admission_.Take(note.from, n);
  const auto after = admission_.state();
  if (before == after) return;
  if (after == State::kFounding) outputs_.push_back(KeepFounders{admission_.founders()});
  if (after == State::kBlank)
    Tell(true,
         "this store is empty, and the fleet was founded without it: it does not vote until an operator "
         "lets it in (lemoncroft rules voters out NAME, if it voted before; then in NAME)");
  if (after == State::kOlder)
    Tell(true,
         "this voter's store is older than what it once answered for: it does not vote; remove the "
         "store and have the voter replaced");
  Greeting(now);
}

void Keeper::On(Time, Instance, const Note&, const Invite& n) {
  const auto before = admission_.state();
  admission_.TakeInvitation(n);
  if (before != admission_.state()) outputs_.push_back(KeepFounders{admission_.founders()});
}

}  // namespace lemoncroft::replicated_config
