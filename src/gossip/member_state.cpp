// The member states of MembershipView: precedence of updates, suspicion and its timeout, refutation.
#include <algorithm>
#include <cmath>
#include <utility>

#include "gossip/membership_view.h"

namespace lemoncroft::gossip {

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
  // Until the first direct contact, the known record may be forged; the member's own record replaces it.
  const bool corrected = direct && !member->last_direct_contact && record.incarnation < known.incarnation;
  if (record.incarnation < known.incarnation && !corrected) return;
  if (record.incarnation == known.incarnation) {
    // Other members consider it alive: gossip the failure to inform them and to let the member refute it.
    if (member->status == Status::kFailed && !direct && !bulk) broadcasts_.Push(*StatusUpdateOf(record.id));
    return;
  }
  if (ExceedsIncarnationJump(record.incarnation, known.incarnation) ||
      (record.name != known.name && !corrected)) {
    ++rejected_;
    return;
  }
  const Status previous_status = member->status;
  members_.Replace(record);
  members_.SetStatus(now, record.id, Status::kAlive);
  members_.ClearSuspectors(record.id);
  members_.SetDeadline(record.id, kNever);
  failure_claims_.erase(record.id);
  if (!bulk) broadcasts_.Push({Status::kAlive, record, kNoInstance});
  const bool returned = previous_status == Status::kFailed || previous_status == Status::kLeft;
  if (returned && direct) RequestSync(record.address);
  EmitEvent(returned                              ? EventType::kReturned
            : previous_status == Status::kSuspect ? EventType::kRefuted
                                                  : EventType::kChanged,
            record);
}

void MembershipView::AddMember(Time now, const MemberRecord& record, bool direct, bool bulk) {
  if (!direct && ExceedsIncarnationJump(record.incarnation, 0)) {
    ++rejected_;
    return;
  }
  const auto tombstone = members_.FindTombstone(now, record.id);
  if (tombstone && record.incarnation <= *tombstone && !direct) {
    if (!bulk) broadcasts_.Push(NonAliveUpdate(Status::kFailed, record.id, *tombstone, members_.self()));
    return;
  }
  const InstanceId previous_owner = members_.FindByAddress(record.address);
  if (!members_.Add(now, record, Status::kAlive, direct)) {
    ++rejected_;
    return;
  }
  // Inserts the member at a random position of the current round (SWIM, section 4.3).
  std::vector<InstanceId>& round = direct ? probe_round_ : unconfirmed_round_;
  round.push_back(record.id);
  std::swap(round.back(), round[RandomBelow(round.size())]);
  if (!bulk) broadcasts_.Push({Status::kAlive, record, kNoInstance});
  EmitEvent(EventType::kJoined, record);
  // An address belongs to one process at a time: the previous instance at it has ended.
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

Duration MembershipView::SuspicionTimeout(const Member& member) const {
  if (!settings_.safety_checks.suspicion_timeout) return Duration(0);
  const double n = static_cast<double>(members_.live_count());
  // Timeouts in protocol periods.
  const double min_timeout =
      kSuspicionBasePeriods + kSuspicionPeriodsPerLog10Members * std::log10(std::max(1.0, n));
  const double max_timeout = kMaxSuspicionFactor * min_timeout;
  // A small fleet has fewer members that can confirm a suspicion.
  const double max_confirmations = std::min<double>(kSuspicionConfirmations, std::max(0.0, n - 2));
  const double confirmations =
      std::min<double>(max_confirmations, static_cast<double>(member.suspected_by.size()) - 1);
  const double progress = max_confirmations <= 0
                              ? 1
                              : std::log(std::max(0.0, confirmations) + 1) / std::log(max_confirmations + 1);
  return Periods(max_timeout - (max_timeout - min_timeout) * progress);
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
  const bool newly_suspected = member->status == Status::kAlive;
  if (newly_suspected) {
    if (incarnation > member->record.incarnation) members_.SetIncarnation(id, incarnation);
    members_.ClearSuspectors(id);
    members_.SetStatus(now, id, Status::kSuspect);
    members_.SetDeadline(id, kNever);
    failure_claims_.erase(id);
    EmitEvent(EventType::kSuspected, member->record, reported_by);
  }
  if (!members_.AddSuspector(id, reported_by)) return;
  UpdateSuspicionDeadline(now, id);
  if (!bulk) broadcasts_.Push(NonAliveUpdate(Status::kSuspect, id, member->record.incarnation, reported_by));
  // Some members probe the suspect themselves, so that it learns of the suspicion at once and the decision
  // rests on several observers.
  const double probability =
      kExpectedSuspectProbes / std::max<double>(1, static_cast<double>(members_.others().size()));
  if (newly_suspected && reported_by != members_.self() &&
      static_cast<double>(random_() >> 11) * 0x1.0p-53 < probability)
    StartProbe(now, *member, std::nullopt);
}

void MembershipView::SuspectWithMinTimeout(Time now, InstanceId id) {
  const Member* member = members_.Find(id);
  if (member == nullptr || !member->is_live()) return;
  ApplySuspect(now, id, member->record.incarnation, members_.self(), false);
  const double n = static_cast<double>(members_.live_count());
  const Duration min_timeout =
      Periods(kSuspicionBasePeriods + kSuspicionPeriodsPerLog10Members * std::log10(std::max(1.0, n)));
  if (member->status == Status::kSuspect)
    members_.SetDeadline(id, std::max(now, std::min(member->deadline, member->status_since + min_timeout)));
}

void MembershipView::ApplyFailed(Time now, InstanceId id, std::uint64_t incarnation, InstanceId reported_by) {
  if (id == members_.self()) return Refute(now, incarnation);
  const Member* member = members_.Find(id);
  if (member == nullptr || !member->is_live() || incarnation < member->record.incarnation) return;
  if (ExceedsIncarnationJump(incarnation, member->record.incarnation)) {
    ++rejected_;
    return;
  }
  // This proxy does not suspect the member. After a partition each side declares the other failed, so the
  // claim is verified first.
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
  broadcasts_.Push(NonAliveUpdate(Status::kFailed, id, member->record.incarnation, reported_by));
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
  broadcasts_.Push(NonAliveUpdate(Status::kLeft, id, incarnation, kNoInstance));
  EmitEvent(EventType::kLeft, member->record);
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
  AdjustLocalHealthScore(+1);
  EmitEvent(EventType::kRefutedOwn, changed);
}

}  // namespace lemoncroft::gossip
