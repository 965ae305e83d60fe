#include "gossip/view.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <utility>

namespace lemoncroft::gossip {
namespace {

constexpr std::size_t kRecentMost = 8;
constexpr std::size_t kBulk = 64;           // entries of an exchange past which they aren't told on as news
constexpr std::size_t kLooksABeat = 4;      // accused that are asked in one gossip beat
constexpr std::size_t kFarewells = 8;       // members that are told of a leave at once
constexpr std::size_t kFrame = 48;          // bytes of a datagram beside its sender and news
constexpr std::size_t kEntriesMost = 8192;  // of one exchange

}  // namespace

const char* NameOf(Change change) {
  switch (change) {
    case Change::kJoined:
      return "joined";
    case Change::kChanged:
      return "changed";
    case Change::kSuspected:
      return "suspected";
    case Change::kRefuted:
      return "refuted";
    case Change::kFailed:
      return "failed";
    case Change::kReturned:
      return "returned";
    case Change::kLeft:
      return "left";
    case Change::kFreed:
      return "freed";
    case Change::kContested:
      return "contested";
    case Change::kHeld:
      return "held";
    case Change::kAnswered:
      return "answered";
  }
  return "?";
}

View::View(Settings settings, const Record& self, std::uint64_t seed, Time now)
    : set_(std::move(settings)),
      random_(seed),
      roster_(self, std::max<std::size_t>(2, set_.most), set_.guards),
      news_(kNewsMost),
      next_probe_(now),
      next_gossip_(now),
      next_beat_(now),
      expected_(now),
      number_(static_cast<std::uint32_t>(random_())),
      next_seed_(number_),
      exchanged_(now - Periods(kExchangeEvery)) {
  // Spread over the period: proxies that start together must not strike together.
  next_probe_ += Span(Below(static_cast<std::size_t>(set_.period.count())));
  news_.Push({Status::kAlive, roster_.own().record, kNobody});
}

Span View::Periods(double count) const {
  return Span(static_cast<Span::rep>(static_cast<double>(set_.period.count()) * count));
}

std::vector<Output> View::Take() { return std::exchange(outputs_, {}); }

void View::Tell(Change change, const Record& record, InstanceId by) {
  outputs_.push_back(Event{change, record, by});
}

// ---- Time ----

Time View::due() const {
  Time due = std::min({next_probe_, next_beat_, roster_.FirstDue().first});
  if (!news_.empty() || !look_.empty()) due = std::min(due, next_gossip_);
  for (const auto& [number, probe] : probes_) due = std::min({due, probe.ask_others, probe.ends});
  for (const auto& [number, asked] : asked_) due = std::min({due, asked.nack_at, asked.ends});
  return due;
}

// Notes, around every call from outside, whether it comes late, and when the next one should come.
class View::Call {
 public:
  Call(View& view, Time now) : view_(view), now_(now) {
    if (view_.depth_++ == 0) view_.NoteLateness(now);
  }
  ~Call() {
    if (--view_.depth_ == 0) view_.expected_ = std::max(now_, view_.due());
  }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

 private:
  View& view_;
  Time now_;
};

// A proxy that was held finds its probes unanswered and its suspicions over, and none of that is anybody's
// fault but its own.
void View::NoteLateness(Time now) {
  if (!set_.guards.stall_check) return;
  const Span late = now - expected_;
  if (late <= Periods(kStall)) return;
  Judge(+1);
  probes_.clear();
  asked_.clear();
  look_.clear();
  roster_.DelaySuspicions(late);
  news_.Clear();
  if (!left_) news_.Push({Status::kAlive, roster_.own().record, kNobody});
  next_probe_ = next_gossip_ = next_beat_ = now;
  if (!roster_.others().empty()) {
    const InstanceId with = roster_.others()[Below(roster_.others().size())];
    WantExchange(roster_.Find(with)->record.address);
  }
  Tell(Change::kHeld, roster_.own().record);
}

void View::Step(Time now) {
  const Call call(*this, now);
  for (;;) {
    const auto [due, id] = roster_.FirstDue();
    if (due > now) break;
    const Member& member = *roster_.Find(id);
    if (member.status == Status::kSuspect) {
      TakeFailure(now, id, member.record.incarnation, roster_.self());
    } else {
      const Record record = member.record;
      roster_.Free(id, now + set_.remember);
      Tell(Change::kFreed, record);
    }
  }
  AdvanceProbes(now);
  if (next_beat_ <= now) Beat(now);
  if (next_probe_ <= now) ProbeNext(now);
  if (next_gossip_ <= now && (!news_.empty() || !look_.empty())) {
    LookInto(now);
    Spread();
    next_gossip_ = now + set_.period / kGossipParts;
  }
}

void View::Beat(Time now) {
  next_beat_ = now + set_.period;
  ++beats_;
  if (left_) return;
  const std::vector<InstanceId>& failed = roster_.failed();
  if (set_.guards.retry_failed && !failed.empty() && beats_ % kRetryEvery == 0) {
    // Without a probe's consequences: who answers hears what is held against it, and refutes.
    const InstanceId id = failed[Below(failed.size())];
    Post(roster_.Find(id)->record.address, id, Ping{++number_, id});
  }
  const bool alone = roster_.others().empty();
  if (!set_.seeds.empty() && (alone || beats_ % kSeedEvery == 0)) {
    for (std::size_t tried = 0; tried < set_.seeds.size(); ++tried) {
      const Endpoint& seed = set_.seeds[next_seed_++ % set_.seeds.size()];
      if (seed == roster_.own().record.address || roster_.At(seed) != kNobody) continue;
      seed_number_ = ++number_;
      Post(seed, kNobody, Ping{seed_number_, kNobody});
      break;
    }
  }
  if (set_.guards.exchange && !alone && now - exchanged_ >= Periods(kExchangeLeast)) {
    if (!exchange_with_ && (beats_ + roster_.self()) % kExchangeEvery == 0)
      exchange_with_ = roster_.Find(roster_.others()[Below(roster_.others().size())])->record.address;
    if (exchange_with_) {
      outputs_.push_back(Exchange{std::exchange(exchange_with_, {})});
      exchanged_ = now;
      differs_ = 0;
    }
  }
  std::erase_if(differing_, [&](const auto& d) {
    const Member* member = roster_.Find(d.first);
    return member == nullptr || !member->living() || now - d.second > Periods(kExchangeEvery);
  });
  NoteContested();
}

// Names under which two processes serve, neither of which is about to end.
void View::NoteContested() {
  if (std::exchange(contested_at_, roster_.changes()) != roster_.changes()) {
    std::erase_if(contested_since_, [&](const auto& c) { return !roster_.shared().contains(c.first); });
    for (const std::string& name : roster_.shared()) contested_since_.try_emplace(name, beats_);
  }
  const std::string& own = roster_.own().record.name;
  const auto it = contested_since_.find(own);
  if (it == contested_since_.end() || beats_ - it->second != kContested) return;
  for (const auto& [id, member] : roster_.all())
    if (member.living() && member.record.name == own && id != roster_.self())
      Tell(Change::kContested, member.record);
}

// ---- Choices ----

// Different members alive or suspected. One of them gave proof of life lately: what it is asked or told is
// likely to arrive, also from a proxy that few can be reached by.
std::vector<InstanceId> View::Pick(std::size_t count, InstanceId but) {
  std::vector<InstanceId> picked;
  const auto take = [&](InstanceId id) {
    const Member* member = roster_.Find(id);
    if (id == but || member == nullptr || !member->living()) return;
    if (std::find(picked.begin(), picked.end(), id) == picked.end()) picked.push_back(id);
  };
  if (!recent_.empty()) take(recent_[Below(recent_.size())]);
  const std::vector<InstanceId>& others = roster_.others();
  for (std::size_t tries = 0; picked.size() < count && tries < 4 * count && !others.empty(); ++tries)
    take(others[Below(others.size())]);
  return picked;
}

std::optional<News> View::Accusation(InstanceId id) const {
  const Member* member = roster_.Find(id);
  if (member == nullptr || member->status == Status::kAlive) return std::nullopt;
  News news{member->status, {}, roster_.self()};
  news.record.id = id;
  news.record.incarnation = member->record.incarnation;
  if (member->status == Status::kSuspect && !member->accusers.empty()) news.from = member->accusers.front();
  return news;
}

void View::Post(const Endpoint& to, InstanceId to_id, const Body& body, std::vector<News> first) {
  Datagram d;
  d.sender = roster_.own().record;
  d.digest = roster_.digest();
  d.body = body;
  d.news = std::move(first);
  if (to_id != kNobody)
    if (auto accusation = Accusation(to_id)) d.news.push_back(std::move(*accusation));
  std::size_t used = kFrame + EncodedMost(d.sender);
  for (const News& news : d.news) used += EncodedMost(news);
  const int limit = set_.guards.retransmit_bound
                        ? 3 * static_cast<int>(std::ceil(std::log10(roster_.living() + 1.0))) + 1
                        : 1 << 30;
  if (used < kDatagramMost) news_.Fill(d.news, kDatagramMost - used, limit);
  outputs_.push_back(Transmit{to, std::move(d)});
}

void View::Spread() {
  for (const InstanceId id : Pick(kFanout, kNobody)) {
    if (news_.empty()) return;
    Post(roster_.Find(id)->record.address, id, Gossip{});
  }
}

// ---- Probes ----

void View::Judge(int change) {
  if (set_.guards.local_health) health_ = std::clamp(health_ + change, 0, kHealthMost);
}

// One of those that gave proof of life, as ever; and beside it some who are known by hearsay alone, so that a
// thousand invented names neither delay the probes of the others nor stay for long.
void View::ProbeNext(Time now) {
  next_probe_ = now + set_.period * (1 + health_);
  if (left_) return;
  if (const auto id = NextOf(round_, true)) StartProbe(now, *roster_.Find(*id), std::nullopt);
  for (std::size_t i = 0; i < kHearsayProbes; ++i)
    if (const auto id = NextOf(hearsay_, false)) StartProbe(now, *roster_.Find(*id), std::nullopt);
}

std::optional<InstanceId> View::NextOf(std::vector<InstanceId>& round, bool proven) {
  const auto fits = [&](InstanceId id) {
    const Member* member = roster_.Find(id);
    return member != nullptr && member->living() && member->proof.has_value() == proven;
  };
  for (int refills = 0; refills < 2; ++refills) {
    while (!round.empty()) {
      const InstanceId id = round.back();
      round.pop_back();
      if (fits(id)) return id;
    }
    for (const InstanceId id : proven ? roster_.others() : roster_.unproven())
      if (fits(id)) round.push_back(id);
    for (std::size_t i = round.size(); i > 1; --i) std::swap(round[i - 1], round[Below(i)]);
  }
  return std::nullopt;
}

void View::StartProbe(Time now, const Member& member, std::optional<Claim> claim) {
  if (probes_.size() >= kProbesMost) return;
  const std::uint32_t number = ++number_;
  Probe probe;
  probe.target = member.record.id;
  probe.address = member.record.address;
  probe.incarnation = member.record.incarnation;
  probe.ask_others = now + Periods(kAckWithin * (1 + health_));
  probe.ends = now + set_.period * (1 + health_);
  probe.claimed = claim.has_value();
  std::vector<News> first;
  if (claim) {
    News news{Status::kFailed, {}, claim->from};
    news.record.id = probe.target;
    news.record.incarnation = claim->incarnation;
    first.push_back(std::move(news));
  }
  const Endpoint to = probe.address;
  const InstanceId target = probe.target;
  probes_.emplace(number, probe);
  Post(to, target, Ping{number, target}, std::move(first));
}

void View::AdvanceProbes(Time now) {
  std::vector<Probe> failed;
  for (auto it = probes_.begin(); it != probes_.end();) {
    Probe& probe = it->second;
    if (probe.ends <= now) {
      failed.push_back(probe);
      it = probes_.erase(it);
      continue;
    }
    if (probe.ask_others <= now) {
      probe.ask_others = kNever;
      if (set_.guards.indirect) {
        for (const InstanceId helper : Pick(kHelpers, probe.target)) {
          ++probe.helpers;
          Post(roster_.Find(helper)->record.address, helper,
               PingRequest{it->first, probe.target, probe.address});
        }
      }
    }
    ++it;
  }
  for (const Probe& probe : failed) ProbeFailed(now, probe);
  for (auto it = asked_.begin(); it != asked_.end();) {
    Asked& asked = it->second;
    if (asked.nack_at <= now) {
      asked.nack_at = kNever;
      Post(asked.requester, kNobody, Nack{asked.number});
    }
    it = asked.ends <= now ? asked_.erase(it) : std::next(it);
  }
}

void View::ProbeFailed(Time now, const Probe& probe) {
  // Those that were asked answer in any case: where none did, this proxy may be the one in trouble.
  if (probe.helpers > 0 && probe.nacks == 0) Judge(+1);
  const Member* member = roster_.Find(probe.target);
  if (member == nullptr || !member->living() || member->record.incarnation > probe.incarnation) return;
  TakeSuspicion(now, probe.target, probe.incarnation, roster_.self(), false);
  if (probe.claimed) SuspectForCause(now, probe.target);
}

void View::LookInto(Time now) {
  for (std::size_t i = 0; i < kLooksABeat && !look_.empty() && probes_.size() < kProbesMost; ++i) {
    // Any of them: many may have heard the same claims, and need not all begin with the same one.
    auto it = look_.lower_bound(random_());
    if (it == look_.end()) it = look_.begin();
    const auto [id, claim] = *it;
    look_.erase(it);
    const Member* member = roster_.Find(id);
    if (member == nullptr || member->status != Status::kAlive ||
        member->record.incarnation > claim.incarnation)
      continue;
    StartProbe(now, *member, claim);
  }
}

// ---- What comes ----

void View::Receive(Time now, const Datagram& d) {
  const Call call(*this, now);
  if (!Fits(d.sender) || d.sender.id == roster_.self()) {
    ++refused_;
    return;
  }
  TakeRecord(now, d.sender, true, false);
  const Member* sender = roster_.Find(d.sender.id);
  if (sender == nullptr) {
    ++refused_;  // no room for it, or beyond belief
    return;
  }
  const bool first = !joined_.has_value() && sender->living();
  if (first) {
    joined_ = now;
    WantExchange(d.sender.address);
    next_beat_ = now;
  }
  roster_.Prove(now, d.sender.id);
  std::erase(recent_, d.sender.id);
  recent_.push_back(d.sender.id);
  if (recent_.size() > kRecentMost) recent_.pop_front();
  for (const News& news : d.news) TakeNews(now, news, false);
  Compare(now, d);
  std::visit([&](const auto& body) { On(now, d, body); }, d.body);
}

void View::Compare(Time now, const Datagram& d) {
  const Member* sender = roster_.Find(d.sender.id);
  if (d.digest == 0 || sender == nullptr || !sender->living()) return;
  if (d.digest == roster_.digest()) {
    differing_.erase(d.sender.id);
    differs_ = 0;
    return;
  }
  differing_[d.sender.id] = now;
  if (++differs_ >= kDiffersFor && !exchange_with_) WantExchange(d.sender.address);
}

void View::On(Time, const Datagram& d, const Ping& ping) {
  if (set_.guards.target_check && ping.target != kNobody && ping.target != roster_.self())
    return Post(d.sender.address, d.sender.id, Stranger{ping.number});
  Post(d.sender.address, d.sender.id, Ack{ping.number, roster_.self()});
}

void View::On(Time now, const Datagram& d, const PingRequest& request) {
  if (asked_.size() >= kAskedMost || !request.address || request.target == kNobody) {
    ++refused_;
    return;
  }
  const std::uint32_t number = ++number_;
  asked_[number] = {d.sender.address, request.number, request.target, now + Periods(kNackWithin),
                    now + set_.period * 2};
  Post(request.address, request.target, Ping{number, request.target});
}

void View::On(Time now, const Datagram& d, const Ack& ack) {
  if (const auto it = probes_.find(ack.number);
      it != probes_.end() && (it->second.target == ack.of || !set_.guards.target_check)) {
    probes_.erase(it);
    Judge(-1);
    return;
  }
  if (const auto it = asked_.find(ack.number); it != asked_.end() && it->second.target == d.sender.id) {
    const Asked asked = it->second;
    asked_.erase(it);
    return Post(asked.requester, kNobody, Ack{asked.number, asked.target},
                {{Status::kAlive, d.sender, kNobody}});
  }
  // A seed that this proxy did not know, or had given up: what it knows is wanted at once.
  if (ack.number == seed_number_ && seed_number_ != 0) {
    seed_number_ = 0;
    WantExchange(d.sender.address);
    next_beat_ = std::min(next_beat_, now);
  }
}

void View::On(Time, const Datagram&, const Nack& nack) {
  if (const auto it = probes_.find(nack.number); it != probes_.end()) ++it->second.nacks;
}

void View::On(Time now, const Datagram& d, const Stranger& stranger) {
  const auto it = probes_.find(stranger.number);
  if (it == probes_.end() || it->second.address != d.sender.address) return;
  const InstanceId gone = it->second.target;
  probes_.erase(it);
  SuspectForCause(now, gone);
}

void View::On(Time, const Datagram& d, const Gossip&) {
  // It believes to be in this proxy's view and is not: it has to hear of that.
  if (Accusation(d.sender.id).has_value()) Post(d.sender.address, d.sender.id, Gossip{});
}

// ---- News ----

bool View::TooFar(std::uint64_t incarnation, std::uint64_t known) const {
  return set_.guards.leap_bound && incarnation > known + kIncarnationLeap;
}

void View::TakeNews(Time now, const News& news, bool bulk) {
  const Record& r = news.record;
  switch (news.status) {
    case Status::kAlive:
      if (!Fits(r)) break;
      return TakeRecord(now, r, false, bulk);
    case Status::kSuspect:
      return TakeSuspicion(now, r.id, r.incarnation, news.from, bulk);
    case Status::kFailed:
      return TakeFailure(now, r.id, r.incarnation, news.from);
    case Status::kLeft:
      return TakeLeave(now, r.id, r.incarnation);
  }
  ++refused_;
}

void View::TakeRecord(Time now, const Record& record, bool direct, bool bulk) {
  if (record.id == roster_.self()) {
    const Record& own = roster_.own().record;
    if (record.incarnation > own.incarnation || (record.incarnation == own.incarnation && record != own))
      Refute(now, record.incarnation);
    return;
  }
  const Member* member = roster_.Find(record.id);
  if (member == nullptr) return Welcome(now, record, direct, bulk);
  const Record& known = member->record;
  // What was only heard of it may have been a lie; from here on its own word counts.
  const bool corrected = direct && !member->proof && record.incarnation < known.incarnation;
  if (record.incarnation < known.incarnation && !corrected) return;
  if (record.incarnation == known.incarnation) {
    // Who holds it alive has to hear otherwise, and the accused to answer.
    if (member->status == Status::kFailed && !direct && !bulk) news_.Push(*Accusation(record.id));
    return;
  }
  if (TooFar(record.incarnation, known.incarnation) || (record.name != known.name && !corrected)) {
    ++refused_;
    return;
  }
  const Status before = member->status;
  roster_.Replace(record);
  roster_.SetStatus(now, record.id, Status::kAlive);
  roster_.ClearAccusers(record.id);
  roster_.SetDue(record.id, kNever);
  look_.erase(record.id);
  if (!bulk) news_.Push({Status::kAlive, record, kNobody});
  const bool gone = before == Status::kFailed || before == Status::kLeft;
  if (gone && direct) WantExchange(record.address);
  Tell(gone ? Change::kReturned : before == Status::kSuspect ? Change::kRefuted : Change::kChanged, record);
}

void View::Welcome(Time now, const Record& record, bool direct, bool bulk) {
  if (!direct && TooFar(record.incarnation, 0)) {
    ++refused_;
    return;
  }
  const auto stone = roster_.Tombstone(now, record.id);
  if (stone && record.incarnation <= *stone && !direct) {
    News news{Status::kFailed, {}, roster_.self()};
    news.record.id = record.id;
    news.record.incarnation = *stone;
    if (!bulk) news_.Push(std::move(news));
    return;
  }
  const InstanceId tenant = roster_.At(record.address);
  if (!roster_.Add(now, record, Status::kAlive, direct)) {
    ++refused_;
    return;
  }
  // A place in this round, anywhere in it.
  std::vector<InstanceId>& round = direct ? round_ : hearsay_;
  round.push_back(record.id);
  std::swap(round.back(), round[Below(round.size())]);
  if (!bulk) news_.Push({Status::kAlive, record, kNobody});
  Tell(Change::kJoined, record);
  // An address is one process's at a time; where the newcomer is real, who had it before is gone.
  if (set_.guards.target_check && direct && tenant != kNobody && tenant != roster_.self())
    SuspectForCause(now, tenant);
  const Record& own = roster_.own().record;
  const bool joining = !joined_ || now - *joined_ <= Periods(kJoining);
  if (record.name == own.name && joining && record.generation >= own.generation) {
    Record changed = own;
    changed.generation = record.generation + 1;
    ChangeOwn(changed);
  }
}

Span View::SuspicionSpan(const Member& member) const {
  if (!set_.guards.suspicion_time) return Span(0);
  const double n = static_cast<double>(roster_.living());
  const double least = kLatenessGranted + kSpreading * std::log10(std::max(1.0, n));
  const double most = kSuspicionMost * least;
  // In a small fleet there are not so many who could confirm.
  const double wanted = std::min<double>(kConfirmations, std::max(0.0, n - 2));
  const double confirmed = std::min<double>(wanted, static_cast<double>(member.accusers.size()) - 1);
  const double part = wanted <= 0 ? 1 : std::log(std::max(0.0, confirmed) + 1) / std::log(wanted + 1);
  return Periods(most - (most - least) * part);
}

void View::DueAgain(Time now, InstanceId id) {
  const Member& member = *roster_.Find(id);
  roster_.SetDue(id, std::max(now, std::min(member.due, member.since + SuspicionSpan(member))));
}

void View::TakeSuspicion(Time now, InstanceId id, std::uint64_t incarnation, InstanceId from, bool bulk) {
  if (id == roster_.self()) return Refute(now, incarnation);
  const Member* member = roster_.Find(id);
  if (member == nullptr || !member->living() || incarnation < member->record.incarnation) return;
  if (TooFar(incarnation, member->record.incarnation)) {
    ++refused_;
    return;
  }
  const bool fresh = member->status == Status::kAlive;
  if (fresh) {
    if (incarnation > member->record.incarnation) roster_.SetIncarnation(id, incarnation);
    roster_.ClearAccusers(id);
    roster_.SetStatus(now, id, Status::kSuspect);
    roster_.SetDue(id, kNever);
    look_.erase(id);
    Tell(Change::kSuspected, member->record, from);
  }
  if (!roster_.Accuse(id, from)) return;
  DueAgain(now, id);
  News news{Status::kSuspect, {}, from};
  news.record.id = id;
  news.record.incarnation = member->record.incarnation;
  if (!bulk) news_.Push(std::move(news));
  // Some look into it themselves: the suspect hears of it at once, and several judge.
  const double part = kSecondOpinions / std::max<double>(1, static_cast<double>(roster_.others().size()));
  if (fresh && from != roster_.self() && static_cast<double>(random_() >> 11) * 0x1.0p-53 < part)
    StartProbe(now, *member, std::nullopt);
}

void View::SuspectForCause(Time now, InstanceId id) {
  const Member* member = roster_.Find(id);
  if (member == nullptr || !member->living()) return;
  TakeSuspicion(now, id, member->record.incarnation, roster_.self(), false);
  const double n = static_cast<double>(roster_.living());
  const Span least = Periods(kLatenessGranted + kSpreading * std::log10(std::max(1.0, n)));
  if (member->status == Status::kSuspect)
    roster_.SetDue(id, std::max(now, std::min(member->due, member->since + least)));
}

void View::TakeFailure(Time now, InstanceId id, std::uint64_t incarnation, InstanceId from) {
  if (id == roster_.self()) return Refute(now, incarnation);
  const Member* member = roster_.Find(id);
  if (member == nullptr || !member->living() || incarnation < member->record.incarnation) return;
  if (TooFar(incarnation, member->record.incarnation)) {
    ++refused_;
    return;
  }
  // Only heard of, and never suspected here: after a partition each side holds the other for failed.
  if (member->status == Status::kAlive && set_.guards.ask_accused) {
    if (look_.size() < kLookMost) look_[id] = {member->record.incarnation, from};
    return;
  }
  roster_.SetStatus(now, id, Status::kFailed);
  roster_.SetDue(id, now + (member->proof ? set_.remember : std::min(set_.remember, Periods(kUnprovenKept))));
  differing_.erase(id);
  News news{Status::kFailed, {}, from};
  news.record.id = id;
  news.record.incarnation = member->record.incarnation;
  news_.Push(std::move(news));
  Tell(Change::kFailed, member->record, from);
}

void View::TakeLeave(Time now, InstanceId id, std::uint64_t incarnation) {
  if (id == roster_.self()) {
    if (!left_) Refute(now, incarnation);
    return;
  }
  const Member* member = roster_.Find(id);
  if (member == nullptr || member->status == Status::kLeft || incarnation < member->record.incarnation)
    return;
  if (TooFar(incarnation, member->record.incarnation)) {
    ++refused_;
    return;
  }
  roster_.SetIncarnation(id, incarnation);
  roster_.SetStatus(now, id, Status::kLeft);
  roster_.SetDue(id, now + std::min(set_.remember, Periods(4 * kUnprovenKept)));
  look_.erase(id);
  differing_.erase(id);
  News news{Status::kLeft, {}, kNobody};
  news.record.id = id;
  news.record.incarnation = incarnation;
  news_.Push(std::move(news));
  Tell(Change::kLeft, member->record);
}

// ---- What this proxy says of itself ----

void View::ChangeOwn(const Record& changed) {
  if (left_) return;  // the word that it left has its last incarnation: a later one would take it back
  Record record = changed;
  record.incarnation = roster_.own().record.incarnation + 1;
  roster_.Replace(record);
  news_.Push({Status::kAlive, record, kNobody});
}

void View::Refute(Time, std::uint64_t incarnation) {
  const Record& own = roster_.own().record;
  if (!set_.guards.refute || left_ || incarnation < own.incarnation) return;
  if (TooFar(incarnation, own.incarnation) || incarnation >= kIncarnationMost) {
    ++refused_;
    return;
  }
  Record changed = own;
  changed.incarnation = incarnation + 1;
  roster_.Replace(changed);
  news_.Push({Status::kAlive, changed, kNobody});
  Judge(+1);
  Tell(Change::kAnswered, changed);
}

void View::SetPhase(Time now, Phase phase) {
  const Call call(*this, now);
  if (roster_.own().record.phase == phase) return;
  Record changed = roster_.own().record;
  changed.phase = phase;
  ChangeOwn(changed);
}

bool View::SetAttribute(Time now, const std::string& key, const std::string& value) {
  const Call call(*this, now);
  Record changed = roster_.own().record;
  const auto it = std::find_if(changed.attributes.begin(), changed.attributes.end(),
                               [&](const Attribute& a) { return a.key == key; });
  if (it == changed.attributes.end())
    changed.attributes.push_back({key, value});
  else if (it->value == value)
    return true;
  else
    it->value = value;
  if (left_ || !Fits(changed)) return false;
  ChangeOwn(changed);
  return true;
}

void View::Leave(Time now) {
  const Call call(*this, now);
  if (left_) return;
  SetPhase(now, Phase::kEnding);
  ChangeOwn(roster_.own().record);
  left_ = true;
  news_.Clear();
  News news{Status::kLeft, {}, roster_.self()};
  news.record.id = roster_.self();
  news.record.incarnation = roster_.own().record.incarnation;
  news_.Push(news);
  for (const InstanceId id : Pick(kFarewells, kNobody))
    Post(roster_.Find(id)->record.address, id, Gossip{}, {news});
}

// ---- Exchanges ----

Opening View::Open(Time now) {
  const Call call(*this, now);
  return {roster_.own().record, roster_.sums()};
}

// Of the buckets that differ as many as one exchange can carry, each whole: those are alike afterwards, and
// the next exchange goes on with the others.
std::bitset<kBuckets> View::BucketsToTell(const Sums& theirs) const {
  std::array<std::size_t, kBuckets> bytes{};
  for (const auto& [id, member] : roster_.all())
    bytes[id % kBuckets] += EncodedMost(News{Status::kAlive, member.record, kNobody}) +
                            EncodedMost(News{Status::kFailed, member.record, kNobody});
  std::bitset<kBuckets> tell;
  std::size_t all = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    if (theirs[bucket] == roster_.sums()[bucket]) continue;
    if (tell.any() && all + bytes[bucket] > kExchangeBytesMost) break;
    all += bytes[bucket];
    tell.set(bucket);
  }
  return tell;
}

std::vector<News> View::Differing(const Sums& theirs) const {
  std::vector<News> out;
  const std::bitset<kBuckets> tell = BucketsToTell(theirs);
  for (const auto& [id, member] : roster_.all()) {
    if (!tell.test(id % kBuckets)) continue;
    if (id == roster_.self() && left_) continue;
    if (out.size() + 2 > kEntriesMost) break;
    if (member.living()) out.push_back({Status::kAlive, member.record, kNobody});
    // Of those who gave no proof of life their failure is no news.
    if (member.status != Status::kAlive && (member.living() || member.proof)) out.push_back(*Accusation(id));
  }
  return out;
}

void View::TakeAll(Time now, const Entries& entries) {
  if (!Fits(entries.sender) || entries.sender.id == roster_.self() || entries.entries.size() > kEntriesMost) {
    ++refused_;
    return;
  }
  TakeRecord(now, entries.sender, true, false);
  const bool bulk = entries.entries.size() > kBulk;
  for (const News& news : entries.entries) TakeNews(now, news, bulk);
  if (!joined_ && !roster_.others().empty()) joined_ = now;
}

Entries View::Answer(Time now, const Opening& opening) {
  const Call call(*this, now);
  if (!Fits(opening.sender) || opening.sender.id == roster_.self()) {
    ++refused_;
    return {roster_.own().record, roster_.sums(), {}};
  }
  TakeRecord(now, opening.sender, true, false);
  if (!joined_ && !roster_.others().empty()) joined_ = now;
  return {roster_.own().record, roster_.sums(), Differing(opening.sums)};
}

Entries View::Close(Time now, const Entries& entries) {
  const Call call(*this, now);
  Entries out{roster_.own().record, roster_.sums(), Differing(entries.sums)};
  TakeAll(now, entries);
  return out;
}

void View::Finish(Time now, const Entries& entries) {
  const Call call(*this, now);
  TakeAll(now, entries);
}

// ---- What it shows ----

Standing View::standing() const {
  const std::map<std::string, std::size_t>& names = roster_.serving();
  Standing standing;
  standing.serving = static_cast<int>(names.size());
  if (roster_.own().record.phase == Phase::kServing)
    standing.place = static_cast<int>(std::distance(names.begin(), names.find(roster_.own().record.name)));
  return standing;
}

std::vector<std::string> View::contested() const {
  std::vector<std::string> names;
  for (const auto& [name, since] : contested_since_)
    if (beats_ - since >= kContested) names.push_back(name);
  return names;
}

}  // namespace lemoncroft::gossip
