#include "gossip/membership_view.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gossip/membership_view_call_scope.h"

namespace lemoncroft::gossip {
namespace {

constexpr std::size_t kMaxRecentContacts = 8;
constexpr std::size_t kLeaveFanout = 8;  // members that a leave is sent to directly

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
  next_probe_ += Duration(RandomBelow(static_cast<std::size_t>(settings_.probe_interval.count())));
  broadcasts_.Push({Status::kAlive, members_.own().record, kNoInstance});
}

Duration MembershipView::Periods(double count) const {
  return Duration(static_cast<Duration::rep>(static_cast<double>(settings_.probe_interval.count()) * count));
}

std::vector<Output> MembershipView::TakeOutputs() { return std::exchange(outputs_, {}); }

void MembershipView::EmitEvent(EventType type, const MemberRecord& record, InstanceId reported_by) {
  outputs_.push_back(Event{type, record, reported_by});
}

Time MembershipView::NextDeadline() const {
  Time deadline = std::min({next_probe_, next_periodic_, members_.FirstDeadline().first});
  if (!broadcasts_.empty() || !failure_claims_.empty()) deadline = std::min(deadline, next_gossip_);
  for (const auto& [sequence, probe] : probes_)
    deadline = std::min({deadline, probe.indirect_at, probe.deadline});
  for (const auto& [sequence, relayed] : relayed_probes_)
    deadline = std::min({deadline, relayed.nack_at, relayed.deadline});
  return deadline;
}

// After a pause, probes have timed out and suspicions have expired although the members may have answered in
// time. None of that is evidence against them.
void MembershipView::DetectPause(Time now) {
  if (!settings_.safety_checks.pause_detection) return;
  const Duration lateness = now - expected_call_;
  if (lateness <= Periods(kPauseThresholdPeriods)) return;
  AdjustLocalHealthScore(+1);
  probes_.clear();
  relayed_probes_.clear();
  failure_claims_.clear();
  members_.DelaySuspicions(lateness);
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
  ExpireMembers(now);
  CheckProbeTimeouts(now);
  if (next_periodic_ <= now) RunPeriodicTasks(now);
  if (next_probe_ <= now) StartNextProbes(now);
  if (next_gossip_ <= now && (!broadcasts_.empty() || !failure_claims_.empty())) {
    VerifyFailureClaims(now);
    SendGossip();
    next_gossip_ = now + settings_.probe_interval / kGossipRoundsPerPeriod;
  }
}

void MembershipView::ExpireMembers(Time now) {
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
}

void MembershipView::RunPeriodicTasks(Time now) {
  next_periodic_ = now + settings_.probe_interval;
  ++period_count_;
  if (left_) return;
  PingFailedMember();
  PingSeed();
  StartDueSync(now);
  ExpireDigestMismatches(now);
  DetectNameConflicts();
}

// Not a probe: a missing Ack has no consequence. The datagram carries the failure, so that a member that is
// alive refutes it.
void MembershipView::PingFailedMember() {
  const std::vector<InstanceId>& failed = members_.failed();
  if (!settings_.safety_checks.reconnect_failed || failed.empty()) return;
  if (period_count_ % kFailedRetryIntervalPeriods != 0) return;
  const InstanceId id = failed[RandomBelow(failed.size())];
  SendDatagram(members_.Find(id)->record.address, id, Ping{++last_sequence_, id});
}

// Pings the next seed that is not a live member.
void MembershipView::PingSeed() {
  const bool alone = members_.others().empty();
  if (settings_.seeds.empty() || (!alone && period_count_ % kSeedRetryIntervalPeriods != 0)) return;
  for (std::size_t tried = 0; tried < settings_.seeds.size(); ++tried) {
    const PeerAddress& seed = settings_.seeds[next_seed_++ % settings_.seeds.size()];
    if (seed == members_.own().record.address || members_.FindByAddress(seed) != kNoInstance) continue;
    seed_ping_sequence_ = ++last_sequence_;
    SendDatagram(seed, kNoInstance, Ping{seed_ping_sequence_, kNoInstance});
    break;
  }
}

// Reports the other instances that serve under this proxy's name once a conflict has lasted
// kNameConflictPeriods.
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
  const bool is_first_contact = !first_contact_.has_value() && sender->is_live();
  if (is_first_contact) {
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

void MembershipView::UpdateOwnRecord(const MemberRecord& changed) {
  if (left_) return;  // a higher incarnation would revoke the leave
  MemberRecord record = changed;
  record.incarnation = members_.own().record.incarnation + 1;
  members_.Replace(record);
  broadcasts_.Push({Status::kAlive, record, kNoInstance});
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
  MemberUpdate update =
      NonAliveUpdate(Status::kLeft, members_.self(), members_.own().record.incarnation, members_.self());
  broadcasts_.Push(update);
  for (const InstanceId id : PickMembers(kLeaveFanout, kNoInstance))
    SendDatagram(members_.Find(id)->record.address, id, Gossip{}, {update});
}

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
