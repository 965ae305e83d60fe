#include "gossip/membership_view.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <utility>

namespace lemoncroft::gossip {
namespace {

constexpr std::size_t kMaxRecentContacts = 8;
constexpr std::size_t kMaxRebroadcastEntries = 64;  // a larger sync is not gossiped on
constexpr std::size_t kClaimsVerifiedPerRound = 4;  // in one gossip round
constexpr std::size_t kLeaveFanout = 8;             // members that a leave is sent to at once
constexpr std::size_t kDatagramOverheadBytes = 48;  // beside the sender and the updates
constexpr std::size_t kMaxSyncEntries = 8192;       // in one message

}  // namespace

const char* NameOf(EventType type) {
  switch (type) {
    case EventType::kJoined:
      return "joined";
    case EventType::kChanged:
      return "changed";
    case EventType::kSuspected:
      return "suspected";
    case EventType::kRefuted:
      return "refuted";
    case EventType::kFailed:
      return "failed";
    case EventType::kReturned:
      return "returned";
    case EventType::kLeft:
      return "left";
    case EventType::kReaped:
      return "freed";
    case EventType::kNameConflict:
      return "contested";
    case EventType::kPaused:
      return "held";
    case EventType::kRefutedOwn:
      return "answered";
  }
  return "?";
}

MembershipView::MembershipView(Settings settings, const MemberRecord& self, std::uint64_t seed, Time now)
    : settings_(std::move(settings)),
      random_(seed),
      members_(self, std::max<std::size_t>(2, settings_.max_members), settings_.safety_checks),
      broadcasts_(kMaxQueuedUpdates),
      next_probe_(now),
      next_gossip_(now),
      next_periodic_(now),
      expected_call_(now),
      last_sequence_(static_cast<std::uint32_t>(random_())),
      next_seed_(last_sequence_),
      last_sync_(now - Periods(kSyncIntervalPeriods)) {
  // Spreads the probes of proxies that start together over the period.
  next_probe_ += Span(RandomBelow(static_cast<std::size_t>(settings_.probe_interval.count())));
  broadcasts_.Push({Status::kAlive, members_.own().record, kNoInstance});
}

Span MembershipView::Periods(double count) const {
  return Span(static_cast<Span::rep>(static_cast<double>(settings_.probe_interval.count()) * count));
}

std::vector<Output> MembershipView::TakeOutputs() { return std::exchange(outputs_, {}); }

void MembershipView::EmitEvent(EventType type, const MemberRecord& record, InstanceId reported_by) {
  outputs_.push_back(Event{type, record, reported_by});
}

// ---- Timers ----

Time MembershipView::NextDeadline() const {
  Time deadline = std::min({next_probe_, next_periodic_, members_.FirstDeadline().first});
  if (!broadcasts_.empty() || !failure_claims_.empty()) deadline = std::min(deadline, next_gossip_);
  for (const auto& [sequence, probe] : probes_)
    deadline = std::min({deadline, probe.indirect_at, probe.deadline});
  for (const auto& [sequence, relayed] : relayed_probes_)
    deadline = std::min({deadline, relayed.nack_at, relayed.deadline});
  return deadline;
}

// Around every public call: detects a pause before it and sets when the next call is expected after it.
class MembershipView::CallScope {
 public:
  CallScope(MembershipView& view, Time now) : view_(view), now_(now) {
    if (view_.call_depth_++ == 0) view_.DetectPause(now);
  }
  ~CallScope() {
    if (--view_.call_depth_ == 0) view_.expected_call_ = std::max(now_, view_.NextDeadline());
  }
  CallScope(const CallScope&) = delete;
  CallScope& operator=(const CallScope&) = delete;

 private:
  MembershipView& view_;
  Time now_;
};

// After a pause, probes have timed out and suspicions have expired although the members may have answered in
// time. None of that is evidence against them.
void MembershipView::DetectPause(Time now) {
  if (!settings_.safety_checks.pause_detection) return;
  const Span late = now - expected_call_;
  if (late <= Periods(kPauseThresholdPeriods)) return;
  AdjustLocalHealth(+1);
  probes_.clear();
  relayed_probes_.clear();
  failure_claims_.clear();
  members_.DelaySuspicions(late);
  broadcasts_.Clear();
  if (!left_) broadcasts_.Push({Status::kAlive, members_.own().record, kNoInstance});
  next_probe_ = next_gossip_ = next_periodic_ = now;
  if (!members_.others().empty()) {
    const InstanceId with = members_.others()[RandomBelow(members_.others().size())];
    RequestSync(members_.Find(with)->record.address);
  }
  EmitEvent(EventType::kPaused, members_.own().record);
}

void MembershipView::Tick(Time now) {
  const CallScope call(*this, now);
  for (;;) {
    const auto [deadline, id] = members_.FirstDeadline();
    if (deadline > now) break;
    const Member& member = *members_.Find(id);
    if (member.status == Status::kSuspect) {
      ApplyFailed(now, id, member.record.incarnation, members_.self());
    } else {
      const MemberRecord record = member.record;
      members_.Reap(id, now + settings_.failed_retention);
      EmitEvent(EventType::kReaped, record);
    }
  }
  CheckProbeTimeouts(now);
  if (next_periodic_ <= now) RunPeriodicTasks(now);
  if (next_probe_ <= now) StartNextProbes(now);
  if (next_gossip_ <= now && (!broadcasts_.empty() || !failure_claims_.empty())) {
    VerifyFailureClaims(now);
    SendGossip();
    next_gossip_ = now + settings_.probe_interval / kGossipRoundsPerPeriod;
  }
}

void MembershipView::RunPeriodicTasks(Time now) {
  next_periodic_ = now + settings_.probe_interval;
  ++period_count_;
  if (left_) return;
  const std::vector<InstanceId>& failed = members_.failed();
  if (settings_.safety_checks.reconnect_failed && !failed.empty() &&
      period_count_ % kFailedRetryIntervalPeriods == 0) {
    // Not a probe: a missing answer has no consequence. The datagram carries the failure, so that a member
    // that lives refutes it.
    const InstanceId id = failed[RandomBelow(failed.size())];
    SendDatagram(members_.Find(id)->record.address, id, Ping{++last_sequence_, id});
  }
  const bool alone = members_.others().empty();
  if (!settings_.seeds.empty() && (alone || period_count_ % kSeedRetryIntervalPeriods == 0)) {
    for (std::size_t tried = 0; tried < settings_.seeds.size(); ++tried) {
      const Endpoint& seed = settings_.seeds[next_seed_++ % settings_.seeds.size()];
      if (seed == members_.own().record.address || members_.FindByAddress(seed) != kNoInstance) continue;
      seed_ping_sequence_ = ++last_sequence_;
      SendDatagram(seed, kNoInstance, Ping{seed_ping_sequence_, kNoInstance});
      break;
    }
  }
  if (settings_.safety_checks.state_sync && !alone && now - last_sync_ >= Periods(kMinSyncIntervalPeriods)) {
    if (!sync_target_ && (period_count_ + members_.self()) % kSyncIntervalPeriods == 0)
      sync_target_ = members_.Find(members_.others()[RandomBelow(members_.others().size())])->record.address;
    if (sync_target_) {
      outputs_.push_back(StateSync{std::exchange(sync_target_, {})});
      last_sync_ = now;
      digest_mismatches_ = 0;
    }
  }
  std::erase_if(diverged_, [&](const auto& d) {
    const Member* member = members_.Find(d.first);
    return member == nullptr || !member->is_live() || now - d.second > Periods(kSyncIntervalPeriods);
  });
  DetectNameConflicts();
}

// Reports instances that serve under this proxy's name for kNameConflictPeriods.
void MembershipView::DetectNameConflicts() {
  if (std::exchange(conflicts_checked_at_, members_.change_count()) != members_.change_count()) {
    std::erase_if(conflict_since_, [&](const auto& c) { return !members_.shared_names().contains(c.first); });
    for (const std::string& name : members_.shared_names()) conflict_since_.try_emplace(name, period_count_);
  }
  const std::string& own = members_.own().record.name;
  const auto it = conflict_since_.find(own);
  if (it == conflict_since_.end() || period_count_ - it->second != kNameConflictPeriods) return;
  for (const auto& [id, member] : members_.all())
    if (member.is_live() && member.record.name == own && id != members_.self())
      EmitEvent(EventType::kNameConflict, member.record);
}

// ---- Dissemination ----

// One of them is a recent contact, so that the datagram is likely to arrive even if this proxy can reach only
// few members.
std::vector<InstanceId> MembershipView::PickMembers(std::size_t count, InstanceId except) {
  std::vector<InstanceId> picked;
  const auto take = [&](InstanceId id) {
    const Member* member = members_.Find(id);
    if (id == except || member == nullptr || !member->is_live()) return;
    if (std::find(picked.begin(), picked.end(), id) == picked.end()) picked.push_back(id);
  };
  if (!recent_contacts_.empty()) take(recent_contacts_[RandomBelow(recent_contacts_.size())]);
  const std::vector<InstanceId>& others = members_.others();
  for (std::size_t tries = 0; picked.size() < count && tries < 4 * count && !others.empty(); ++tries)
    take(others[RandomBelow(others.size())]);
  return picked;
}

std::optional<MemberUpdate> MembershipView::NonAliveUpdate(InstanceId id) const {
  const Member* member = members_.Find(id);
  if (member == nullptr || member->status == Status::kAlive) return std::nullopt;
  MemberUpdate update{member->status, {}, members_.self()};
  update.record.id = id;
  update.record.incarnation = member->record.incarnation;
  if (member->status == Status::kSuspect && !member->suspected_by.empty())
    update.reported_by = member->suspected_by.front();
  return update;
}

void MembershipView::SendDatagram(const Endpoint& to, InstanceId to_id, const DatagramBody& body,
                                  std::vector<MemberUpdate> first) {
  Datagram d;
  d.sender = members_.own().record;
  d.digest = members_.digest();
  d.body = body;
  d.updates = std::move(first);
  if (to_id != kNoInstance)
    if (auto non_alive = NonAliveUpdate(to_id)) d.updates.push_back(std::move(*non_alive));
  std::size_t used = kDatagramOverheadBytes + MaxEncodedSize(d.sender);
  for (const MemberUpdate& update : d.updates) used += MaxEncodedSize(update);
  const int limit = settings_.safety_checks.retransmit_limit
                        ? 3 * static_cast<int>(std::ceil(std::log10(members_.live_count() + 1.0))) + 1
                        : 1 << 30;
  if (used < kMaxDatagramBytes) broadcasts_.Fill(d.updates, kMaxDatagramBytes - used, limit);
  outputs_.push_back(Transmit{to, std::move(d)});
}

void MembershipView::SendGossip() {
  for (const InstanceId id : PickMembers(kGossipFanout, kNoInstance)) {
    if (broadcasts_.empty()) return;
    SendDatagram(members_.Find(id)->record.address, id, Gossip{});
  }
}

// ---- Probes ----

void MembershipView::AdjustLocalHealth(int delta) {
  if (settings_.safety_checks.local_health)
    local_health_ = std::clamp(local_health_ + delta, 0, kMaxLocalHealth);
}

// Probes one confirmed member, as SWIM does, and some unconfirmed ones besides: forged members then neither
// delay the probes of the others nor stay for long.
void MembershipView::StartNextProbes(Time now) {
  next_probe_ = now + settings_.probe_interval * (1 + local_health_);
  if (left_) return;
  if (const auto id = NextInRound(probe_round_, true)) StartProbe(now, *members_.Find(*id), std::nullopt);
  for (std::size_t i = 0; i < kUnconfirmedProbesPerPeriod; ++i)
    if (const auto id = NextInRound(unconfirmed_round_, false))
      StartProbe(now, *members_.Find(*id), std::nullopt);
}

std::optional<InstanceId> MembershipView::NextInRound(std::vector<InstanceId>& round, bool confirmed) {
  const auto fits = [&](InstanceId id) {
    const Member* member = members_.Find(id);
    return member != nullptr && member->is_live() && member->last_direct_contact.has_value() == confirmed;
  };
  for (int refills = 0; refills < 2; ++refills) {
    while (!round.empty()) {
      const InstanceId id = round.back();
      round.pop_back();
      if (fits(id)) return id;
    }
    for (const InstanceId id : confirmed ? members_.others() : members_.unconfirmed())
      if (fits(id)) round.push_back(id);
    for (std::size_t i = round.size(); i > 1; --i) std::swap(round[i - 1], round[RandomBelow(i)]);
  }
  return std::nullopt;
}

void MembershipView::StartProbe(Time now, const Member& member, std::optional<FailureClaim> claim) {
  if (probes_.size() >= kMaxProbes) return;
  const std::uint32_t sequence = ++last_sequence_;
  Probe probe;
  probe.target = member.record.id;
  probe.address = member.record.address;
  probe.incarnation = member.record.incarnation;
  probe.indirect_at = now + Periods(kAckTimeoutPeriods * (1 + local_health_));
  probe.deadline = now + settings_.probe_interval * (1 + local_health_);
  probe.verifies_claim = claim.has_value();
  std::vector<MemberUpdate> first;
  if (claim) {
    MemberUpdate update{Status::kFailed, {}, claim->reported_by};
    update.record.id = probe.target;
    update.record.incarnation = claim->incarnation;
    first.push_back(std::move(update));
  }
  const Endpoint to = probe.address;
  const InstanceId target = probe.target;
  probes_.emplace(sequence, probe);
  SendDatagram(to, target, Ping{sequence, target}, std::move(first));
}

void MembershipView::CheckProbeTimeouts(Time now) {
  std::vector<Probe> failed;
  for (auto it = probes_.begin(); it != probes_.end();) {
    Probe& probe = it->second;
    if (probe.deadline <= now) {
      failed.push_back(probe);
      it = probes_.erase(it);
      continue;
    }
    if (probe.indirect_at <= now) {
      probe.indirect_at = kNever;
      if (settings_.safety_checks.indirect_probes) {
        for (const InstanceId helper : PickMembers(kMaxIndirectProbes, probe.target)) {
          ++probe.indirect_probes;
          SendDatagram(members_.Find(helper)->record.address, helper,
                       PingRequest{it->first, probe.target, probe.address});
        }
      }
    }
    ++it;
  }
  for (const Probe& probe : failed) HandleProbeTimeout(now, probe);
  for (auto it = relayed_probes_.begin(); it != relayed_probes_.end();) {
    RelayedProbe& relayed = it->second;
    if (relayed.nack_at <= now) {
      relayed.nack_at = kNever;
      SendDatagram(relayed.requester, kNoInstance, Nack{relayed.sequence});
    }
    it = relayed.deadline <= now ? relayed_probes_.erase(it) : std::next(it);
  }
}

void MembershipView::HandleProbeTimeout(Time now, const Probe& probe) {
  // Relaying members answer with an Ack or a Nack. If none did, this proxy itself may be unreachable.
  if (probe.indirect_probes > 0 && probe.nacks == 0) AdjustLocalHealth(+1);
  const Member* member = members_.Find(probe.target);
  if (member == nullptr || !member->is_live() || member->record.incarnation > probe.incarnation) return;
  ApplySuspect(now, probe.target, probe.incarnation, members_.self(), false);
  if (probe.verifies_claim) SuspectWithMinTimeout(now, probe.target);
}

void MembershipView::VerifyFailureClaims(Time now) {
  for (std::size_t i = 0;
       i < kClaimsVerifiedPerRound && !failure_claims_.empty() && probes_.size() < kMaxProbes; ++i) {
    // A random one: many members may have the same claims and should not all verify the same one first.
    auto it = failure_claims_.lower_bound(random_());
    if (it == failure_claims_.end()) it = failure_claims_.begin();
    const auto [id, claim] = *it;
    failure_claims_.erase(it);
    const Member* member = members_.Find(id);
    if (member == nullptr || member->status != Status::kAlive ||
        member->record.incarnation > claim.incarnation)
      continue;
    StartProbe(now, *member, claim);
  }
}

// ---- Messages ----

void MembershipView::Receive(Time now, const Datagram& d) {
  const CallScope call(*this, now);
  if (!IsWithinLimits(d.sender) || d.sender.id == members_.self()) {
    ++rejected_;
    return;
  }
  ApplyAlive(now, d.sender, true, false);
  const Member* sender = members_.Find(d.sender.id);
  if (sender == nullptr) {
    ++rejected_;  // the table is full, or the record was not credible
    return;
  }
  const bool first = !first_contact_.has_value() && sender->is_live();
  if (first) {
    first_contact_ = now;
    RequestSync(d.sender.address);
    next_periodic_ = now;
  }
  members_.RecordDirectContact(now, d.sender.id);
  std::erase(recent_contacts_, d.sender.id);
  recent_contacts_.push_back(d.sender.id);
  if (recent_contacts_.size() > kMaxRecentContacts) recent_contacts_.pop_front();
  for (const MemberUpdate& update : d.updates) ApplyUpdate(now, update, false);
  CompareDigest(now, d);
  std::visit([&](const auto& body) { Handle(now, d, body); }, d.body);
}

void MembershipView::CompareDigest(Time now, const Datagram& d) {
  const Member* sender = members_.Find(d.sender.id);
  if (d.digest == 0 || sender == nullptr || !sender->is_live()) return;
  if (d.digest == members_.digest()) {
    diverged_.erase(d.sender.id);
    digest_mismatches_ = 0;
    return;
  }
  diverged_[d.sender.id] = now;
  if (++digest_mismatches_ >= kDigestMismatchesBeforeSync && !sync_target_) RequestSync(d.sender.address);
}

void MembershipView::Handle(Time, const Datagram& d, const Ping& ping) {
  if (settings_.safety_checks.ping_target_check && ping.target != kNoInstance &&
      ping.target != members_.self())
    return SendDatagram(d.sender.address, d.sender.id, WrongTarget{ping.sequence});
  SendDatagram(d.sender.address, d.sender.id, Ack{ping.sequence, members_.self()});
}

void MembershipView::Handle(Time now, const Datagram& d, const PingRequest& request) {
  if (relayed_probes_.size() >= kMaxRelayedProbes || !request.address || request.target == kNoInstance) {
    ++rejected_;
    return;
  }
  const std::uint32_t sequence = ++last_sequence_;
  relayed_probes_[sequence] = {d.sender.address, request.sequence, request.target,
                               now + Periods(kNackTimeoutPeriods), now + settings_.probe_interval * 2};
  SendDatagram(request.address, request.target, Ping{sequence, request.target});
}

void MembershipView::Handle(Time now, const Datagram& d, const Ack& ack) {
  if (const auto it = probes_.find(ack.sequence);
      it != probes_.end() &&
      (it->second.target == ack.target || !settings_.safety_checks.ping_target_check)) {
    probes_.erase(it);
    AdjustLocalHealth(-1);
    return;
  }
  if (const auto it = relayed_probes_.find(ack.sequence);
      it != relayed_probes_.end() && it->second.target == d.sender.id) {
    const RelayedProbe relayed = it->second;
    relayed_probes_.erase(it);
    return SendDatagram(relayed.requester, kNoInstance, Ack{relayed.sequence, relayed.target},
                        {{Status::kAlive, d.sender, kNoInstance}});
  }
  // A seed that was no live member so far: sync with it at once.
  if (ack.sequence == seed_ping_sequence_ && seed_ping_sequence_ != 0) {
    seed_ping_sequence_ = 0;
    RequestSync(d.sender.address);
    next_periodic_ = std::min(next_periodic_, now);
  }
}

void MembershipView::Handle(Time, const Datagram&, const Nack& nack) {
  if (const auto it = probes_.find(nack.sequence); it != probes_.end()) ++it->second.nacks;
}

void MembershipView::Handle(Time now, const Datagram& d, const WrongTarget& wrong_target) {
  const auto it = probes_.find(wrong_target.sequence);
  if (it == probes_.end() || it->second.address != d.sender.address) return;
  const InstanceId gone = it->second.target;
  probes_.erase(it);
  SuspectWithMinTimeout(now, gone);
}

void MembershipView::Handle(Time, const Datagram& d, const Gossip&) {
  // The sender is not alive in this view: tell it, so that it refutes.
  if (NonAliveUpdate(d.sender.id).has_value()) SendDatagram(d.sender.address, d.sender.id, Gossip{});
}

// ---- Member state ----

bool MembershipView::ExceedsIncarnationJump(std::uint64_t incarnation, std::uint64_t known) const {
  return settings_.safety_checks.incarnation_jump_limit && incarnation > known + kMaxIncarnationJump;
}

void MembershipView::ApplyUpdate(Time now, const MemberUpdate& update, bool bulk) {
  const MemberRecord& r = update.record;
  switch (update.status) {
    case Status::kAlive:
      if (!IsWithinLimits(r)) break;
      return ApplyAlive(now, r, false, bulk);
    case Status::kSuspect:
      return ApplySuspect(now, r.id, r.incarnation, update.reported_by, bulk);
    case Status::kFailed:
      return ApplyFailed(now, r.id, r.incarnation, update.reported_by);
    case Status::kLeft:
      return ApplyLeft(now, r.id, r.incarnation);
  }
  ++rejected_;
}

void MembershipView::ApplyAlive(Time now, const MemberRecord& record, bool direct, bool bulk) {
  if (record.id == members_.self()) {
    const MemberRecord& own = members_.own().record;
    if (record.incarnation > own.incarnation || (record.incarnation == own.incarnation && record != own))
      Refute(now, record.incarnation);
    return;
  }
  const Member* member = members_.Find(record.id);
  if (member == nullptr) return AddMember(now, record, direct, bulk);
  const MemberRecord& known = member->record;
  // Until the first direct contact its record may have been forged; its own record replaces that one.
  const bool corrected = direct && !member->last_direct_contact && record.incarnation < known.incarnation;
  if (record.incarnation < known.incarnation && !corrected) return;
  if (record.incarnation == known.incarnation) {
    // Others still hold it alive: gossip the failure, so that they learn of it and the member can refute.
    if (member->status == Status::kFailed && !direct && !bulk) broadcasts_.Push(*NonAliveUpdate(record.id));
    return;
  }
  if (ExceedsIncarnationJump(record.incarnation, known.incarnation) ||
      (record.name != known.name && !corrected)) {
    ++rejected_;
    return;
  }
  const Status before = member->status;
  members_.Replace(record);
  members_.SetStatus(now, record.id, Status::kAlive);
  members_.ClearSuspectors(record.id);
  members_.SetDeadline(record.id, kNever);
  failure_claims_.erase(record.id);
  if (!bulk) broadcasts_.Push({Status::kAlive, record, kNoInstance});
  const bool gone = before == Status::kFailed || before == Status::kLeft;
  if (gone && direct) RequestSync(record.address);
  EmitEvent(gone                         ? EventType::kReturned
            : before == Status::kSuspect ? EventType::kRefuted
                                         : EventType::kChanged,
            record);
}

void MembershipView::AddMember(Time now, const MemberRecord& record, bool direct, bool bulk) {
  if (!direct && ExceedsIncarnationJump(record.incarnation, 0)) {
    ++rejected_;
    return;
  }
  const auto tombstone = members_.Tombstone(now, record.id);
  if (tombstone && record.incarnation <= *tombstone && !direct) {
    MemberUpdate update{Status::kFailed, {}, members_.self()};
    update.record.id = record.id;
    update.record.incarnation = *tombstone;
    if (!bulk) broadcasts_.Push(std::move(update));
    return;
  }
  const InstanceId previous_owner = members_.FindByAddress(record.address);
  if (!members_.Add(now, record, Status::kAlive, direct)) {
    ++rejected_;
    return;
  }
  // Inserted at a random position of the current round (SWIM, section 4.3).
  std::vector<InstanceId>& round = direct ? probe_round_ : unconfirmed_round_;
  round.push_back(record.id);
  std::swap(round.back(), round[RandomBelow(round.size())]);
  if (!bulk) broadcasts_.Push({Status::kAlive, record, kNoInstance});
  EmitEvent(EventType::kJoined, record);
  // An address belongs to one process at a time: the instance that had it before has ended.
  if (settings_.safety_checks.ping_target_check && direct && previous_owner != kNoInstance &&
      previous_owner != members_.self())
    SuspectWithMinTimeout(now, previous_owner);
  const MemberRecord& own = members_.own().record;
  const bool joining = !first_contact_ || now - *first_contact_ <= Periods(kJoinWindowPeriods);
  if (record.name == own.name && joining && record.generation >= own.generation) {
    MemberRecord changed = own;
    changed.generation = record.generation + 1;
    UpdateOwnRecord(changed);
  }
}

Span MembershipView::SuspicionTimeout(const Member& member) const {
  if (!settings_.safety_checks.suspicion_timeout) return Span(0);
  const double n = static_cast<double>(members_.live_count());
  const double least =
      kSuspicionBasePeriods + kSuspicionPeriodsPerLog10Members * std::log10(std::max(1.0, n));
  const double most = kMaxSuspicionFactor * least;
  // A small fleet has fewer members that could confirm.
  const double wanted = std::min<double>(kSuspicionConfirmations, std::max(0.0, n - 2));
  const double confirmed = std::min<double>(wanted, static_cast<double>(member.suspected_by.size()) - 1);
  const double part = wanted <= 0 ? 1 : std::log(std::max(0.0, confirmed) + 1) / std::log(wanted + 1);
  return Periods(most - (most - least) * part);
}

void MembershipView::UpdateSuspicionDeadline(Time now, InstanceId id) {
  const Member& member = *members_.Find(id);
  members_.SetDeadline(
      id, std::max(now, std::min(member.deadline, member.status_since + SuspicionTimeout(member))));
}

void MembershipView::ApplySuspect(Time now, InstanceId id, std::uint64_t incarnation, InstanceId reported_by,
                                  bool bulk) {
  if (id == members_.self()) return Refute(now, incarnation);
  const Member* member = members_.Find(id);
  if (member == nullptr || !member->is_live() || incarnation < member->record.incarnation) return;
  if (ExceedsIncarnationJump(incarnation, member->record.incarnation)) {
    ++rejected_;
    return;
  }
  const bool fresh = member->status == Status::kAlive;
  if (fresh) {
    if (incarnation > member->record.incarnation) members_.SetIncarnation(id, incarnation);
    members_.ClearSuspectors(id);
    members_.SetStatus(now, id, Status::kSuspect);
    members_.SetDeadline(id, kNever);
    failure_claims_.erase(id);
    EmitEvent(EventType::kSuspected, member->record, reported_by);
  }
  if (!members_.AddSuspector(id, reported_by)) return;
  UpdateSuspicionDeadline(now, id);
  MemberUpdate update{Status::kSuspect, {}, reported_by};
  update.record.id = id;
  update.record.incarnation = member->record.incarnation;
  if (!bulk) broadcasts_.Push(std::move(update));
  // Some members probe the suspect themselves: it learns of the suspicion at once, and the verdict rests on
  // several observers.
  const double part =
      kExpectedSuspectProbes / std::max<double>(1, static_cast<double>(members_.others().size()));
  if (fresh && reported_by != members_.self() && static_cast<double>(random_() >> 11) * 0x1.0p-53 < part)
    StartProbe(now, *member, std::nullopt);
}

void MembershipView::SuspectWithMinTimeout(Time now, InstanceId id) {
  const Member* member = members_.Find(id);
  if (member == nullptr || !member->is_live()) return;
  ApplySuspect(now, id, member->record.incarnation, members_.self(), false);
  const double n = static_cast<double>(members_.live_count());
  const Span least =
      Periods(kSuspicionBasePeriods + kSuspicionPeriodsPerLog10Members * std::log10(std::max(1.0, n)));
  if (member->status == Status::kSuspect)
    members_.SetDeadline(id, std::max(now, std::min(member->deadline, member->status_since + least)));
}

void MembershipView::ApplyFailed(Time now, InstanceId id, std::uint64_t incarnation, InstanceId reported_by) {
  if (id == members_.self()) return Refute(now, incarnation);
  const Member* member = members_.Find(id);
  if (member == nullptr || !member->is_live() || incarnation < member->record.incarnation) return;
  if (ExceedsIncarnationJump(incarnation, member->record.incarnation)) {
    ++rejected_;
    return;
  }
  // Not suspected here: after a partition each side declares the other failed, so verify it first.
  if (member->status == Status::kAlive && settings_.safety_checks.claim_verification) {
    if (failure_claims_.size() < kMaxFailureClaims)
      failure_claims_[id] = {member->record.incarnation, reported_by};
    return;
  }
  members_.SetStatus(now, id, Status::kFailed);
  members_.SetDeadline(
      id, now + (member->last_direct_contact
                     ? settings_.failed_retention
                     : std::min(settings_.failed_retention, Periods(kUnconfirmedRetentionPeriods))));
  diverged_.erase(id);
  MemberUpdate update{Status::kFailed, {}, reported_by};
  update.record.id = id;
  update.record.incarnation = member->record.incarnation;
  broadcasts_.Push(std::move(update));
  EmitEvent(EventType::kFailed, member->record, reported_by);
}

void MembershipView::ApplyLeft(Time now, InstanceId id, std::uint64_t incarnation) {
  if (id == members_.self()) {
    if (!left_) Refute(now, incarnation);
    return;
  }
  const Member* member = members_.Find(id);
  if (member == nullptr || member->status == Status::kLeft || incarnation < member->record.incarnation)
    return;
  if (ExceedsIncarnationJump(incarnation, member->record.incarnation)) {
    ++rejected_;
    return;
  }
  members_.SetIncarnation(id, incarnation);
  members_.SetStatus(now, id, Status::kLeft);
  members_.SetDeadline(id,
                       now + std::min(settings_.failed_retention, Periods(4 * kUnconfirmedRetentionPeriods)));
  failure_claims_.erase(id);
  diverged_.erase(id);
  MemberUpdate update{Status::kLeft, {}, kNoInstance};
  update.record.id = id;
  update.record.incarnation = incarnation;
  broadcasts_.Push(std::move(update));
  EmitEvent(EventType::kLeft, member->record);
}

// ---- Own record ----

void MembershipView::UpdateOwnRecord(const MemberRecord& changed) {
  if (left_) return;  // a higher incarnation would revoke the leave
  MemberRecord record = changed;
  record.incarnation = members_.own().record.incarnation + 1;
  members_.Replace(record);
  broadcasts_.Push({Status::kAlive, record, kNoInstance});
}

void MembershipView::Refute(Time, std::uint64_t incarnation) {
  const MemberRecord& own = members_.own().record;
  if (!settings_.safety_checks.refutation || left_ || incarnation < own.incarnation) return;
  if (ExceedsIncarnationJump(incarnation, own.incarnation) || incarnation >= kMaxIncarnation) {
    ++rejected_;
    return;
  }
  MemberRecord changed = own;
  changed.incarnation = incarnation + 1;
  members_.Replace(changed);
  broadcasts_.Push({Status::kAlive, changed, kNoInstance});
  AdjustLocalHealth(+1);
  EmitEvent(EventType::kRefutedOwn, changed);
}

void MembershipView::SetPhase(Time now, Phase phase) {
  const CallScope call(*this, now);
  if (members_.own().record.phase == phase) return;
  MemberRecord changed = members_.own().record;
  changed.phase = phase;
  UpdateOwnRecord(changed);
}

bool MembershipView::SetAttribute(Time now, const std::string& key, const std::string& value) {
  const CallScope call(*this, now);
  MemberRecord changed = members_.own().record;
  const auto it = std::find_if(changed.attributes.begin(), changed.attributes.end(),
                               [&](const Attribute& a) { return a.key == key; });
  if (it == changed.attributes.end())
    changed.attributes.push_back({key, value});
  else if (it->value == value)
    return true;
  else
    it->value = value;
  if (left_ || !IsWithinLimits(changed)) return false;
  UpdateOwnRecord(changed);
  return true;
}

void MembershipView::Leave(Time now) {
  const CallScope call(*this, now);
  if (left_) return;
  SetPhase(now, Phase::kDraining);
  UpdateOwnRecord(members_.own().record);
  left_ = true;
  broadcasts_.Clear();
  MemberUpdate update{Status::kLeft, {}, members_.self()};
  update.record.id = members_.self();
  update.record.incarnation = members_.own().record.incarnation;
  broadcasts_.Push(update);
  for (const InstanceId id : PickMembers(kLeaveFanout, kNoInstance))
    SendDatagram(members_.Find(id)->record.address, id, Gossip{}, {update});
}

// ---- State sync ----

SyncRequest MembershipView::StartSync(Time now) {
  const CallScope call(*this, now);
  return {members_.own().record, members_.bucket_sums()};
}

std::bitset<kDigestBuckets> MembershipView::SelectBuckets(const BucketSums& theirs) const {
  std::array<std::size_t, kDigestBuckets> bytes{};
  for (const auto& [id, member] : members_.all())
    bytes[id % kDigestBuckets] += MaxEncodedSize(MemberUpdate{Status::kAlive, member.record, kNoInstance}) +
                                  MaxEncodedSize(MemberUpdate{Status::kFailed, member.record, kNoInstance});
  std::bitset<kDigestBuckets> tell;
  std::size_t all = 0;
  for (std::size_t bucket = 0; bucket < kDigestBuckets; ++bucket) {
    if (theirs[bucket] == members_.bucket_sums()[bucket]) continue;
    if (tell.any() && all + bytes[bucket] > kMaxSyncBytes) break;
    all += bytes[bucket];
    tell.set(bucket);
  }
  return tell;
}

std::vector<MemberUpdate> MembershipView::DifferingEntries(const BucketSums& theirs) const {
  std::vector<MemberUpdate> out;
  const std::bitset<kDigestBuckets> tell = SelectBuckets(theirs);
  for (const auto& [id, member] : members_.all()) {
    if (!tell.test(id % kDigestBuckets)) continue;
    if (id == members_.self() && left_) continue;
    if (out.size() + 2 > kMaxSyncEntries) break;
    if (member.is_live()) out.push_back({Status::kAlive, member.record, kNoInstance});
    // The failure of an unconfirmed member is not passed on.
    if (member.status != Status::kAlive && (member.is_live() || member.last_direct_contact))
      out.push_back(*NonAliveUpdate(id));
  }
  return out;
}

void MembershipView::ApplyEntries(Time now, const SyncEntries& entries) {
  if (!IsWithinLimits(entries.sender) || entries.sender.id == members_.self() ||
      entries.entries.size() > kMaxSyncEntries) {
    ++rejected_;
    return;
  }
  ApplyAlive(now, entries.sender, true, false);
  const bool bulk = entries.entries.size() > kMaxRebroadcastEntries;
  for (const MemberUpdate& update : entries.entries) ApplyUpdate(now, update, bulk);
  if (!first_contact_ && !members_.others().empty()) first_contact_ = now;
}

SyncEntries MembershipView::HandleSyncRequest(Time now, const SyncRequest& request) {
  const CallScope call(*this, now);
  if (!IsWithinLimits(request.sender) || request.sender.id == members_.self()) {
    ++rejected_;
    return {members_.own().record, members_.bucket_sums(), {}};
  }
  ApplyAlive(now, request.sender, true, false);
  if (!first_contact_ && !members_.others().empty()) first_contact_ = now;
  return {members_.own().record, members_.bucket_sums(), DifferingEntries(request.bucket_sums)};
}

SyncEntries MembershipView::HandleSyncResponse(Time now, const SyncEntries& entries) {
  const CallScope call(*this, now);
  SyncEntries out{members_.own().record, members_.bucket_sums(), DifferingEntries(entries.bucket_sums)};
  ApplyEntries(now, entries);
  return out;
}

void MembershipView::FinishSync(Time now, const SyncEntries& entries) {
  const CallScope call(*this, now);
  ApplyEntries(now, entries);
}

// ---- Accessors ----

ServingRank MembershipView::serving_rank() const {
  const std::map<std::string, std::size_t>& names = members_.serving_names();
  ServingRank serving_rank;
  serving_rank.serving_count = static_cast<int>(names.size());
  if (members_.own().record.phase == Phase::kServing)
    serving_rank.rank =
        static_cast<int>(std::distance(names.begin(), names.find(members_.own().record.name)));
  return serving_rank;
}

std::vector<std::string> MembershipView::name_conflicts() const {
  std::vector<std::string> names;
  for (const auto& [name, since] : conflict_since_)
    if (period_count_ - since >= kNameConflictPeriods) names.push_back(name);
  return names;
}

}  // namespace lemoncroft::gossip
