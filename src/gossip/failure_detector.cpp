// The failure detector of MembershipView: direct and indirect probes, probes on behalf of other members,
// verification of failures that other members report, and local health.
#include <algorithm>
#include <iterator>
#include <utility>

#include "gossip/membership_view.h"

namespace lemoncroft::gossip {
namespace {

constexpr std::size_t kClaimsVerifiedPerRound = 4;  // in one gossip round

}  // namespace

void MembershipView::AdjustLocalHealthScore(int delta) {
  if (settings_.safety_checks.local_health)
    local_health_score_ = std::clamp(local_health_score_ + delta, 0, kMaxLocalHealthScore);
}

// Probes one confirmed member, as in SWIM, and up to kUnconfirmedProbesPerPeriod unconfirmed ones. Forged
// members then neither delay the probes of confirmed members nor stay in the table for long.
void MembershipView::StartNextProbes(Time now) {
  next_probe_ = now + settings_.probe_interval * (1 + local_health_score_);
  if (left_) return;
  if (const auto id = NextInRound(probe_round_, true)) StartProbe(now, *members_.Find(*id), std::nullopt);
  for (std::size_t i = 0; i < kUnconfirmedProbesPerPeriod; ++i)
    if (const auto id = NextInRound(unconfirmed_round_, false))
      StartProbe(now, *members_.Find(*id), std::nullopt);
}

std::optional<InstanceId> MembershipView::NextInRound(std::vector<InstanceId>& round, bool confirmed) {
  const auto is_eligible = [&](InstanceId id) {
    const Member* member = members_.Find(id);
    return member != nullptr && member->is_live() && member->last_direct_contact.has_value() == confirmed;
  };
  for (int refills = 0; refills < 2; ++refills) {
    while (!round.empty()) {
      const InstanceId id = round.back();
      round.pop_back();
      if (is_eligible(id)) return id;
    }
    for (const InstanceId id : confirmed ? members_.others() : members_.unconfirmed())
      if (is_eligible(id)) round.push_back(id);
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
  probe.indirect_at = now + Periods(kAckTimeoutPeriods * (1 + local_health_score_));
  probe.deadline = now + settings_.probe_interval * (1 + local_health_score_);
  probe.verifies_claim = claim.has_value();
  std::vector<MemberUpdate> leading_updates;
  if (claim) {
    leading_updates.push_back(
        NonAliveUpdate(Status::kFailed, probe.target, claim->incarnation, claim->reported_by));
  }
  const PeerAddress to = probe.address;
  const InstanceId target = probe.target;
  probes_.emplace(sequence, probe);
  SendDatagram(to, target, Ping{sequence, target}, std::move(leading_updates));
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
        for (const InstanceId relay : PickMembers(kMaxIndirectProbes, probe.target)) {
          ++probe.indirect_probes;
          SendDatagram(members_.Find(relay)->record.address, relay,
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
  if (probe.indirect_probes > 0 && probe.nacks == 0) AdjustLocalHealthScore(+1);
  const Member* member = members_.Find(probe.target);
  if (member == nullptr || !member->is_live() || member->record.incarnation > probe.incarnation) return;
  ApplySuspect(now, probe.target, probe.incarnation, members_.self(), false);
  if (probe.verifies_claim) SuspectWithMinTimeout(now, probe.target);
}

void MembershipView::VerifyFailureClaims(Time now) {
  for (std::size_t i = 0;
       i < kClaimsVerifiedPerRound && !failure_claims_.empty() && probes_.size() < kMaxProbes; ++i) {
    // Picks a random claim, since many members may have the same claims and should not all verify
    // the same one first.
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
    AdjustLocalHealthScore(-1);
    return;
  }
  if (const auto it = relayed_probes_.find(ack.sequence);
      it != relayed_probes_.end() && it->second.target == d.sender.id) {
    const RelayedProbe relayed = it->second;
    relayed_probes_.erase(it);
    return SendDatagram(relayed.requester, kNoInstance, Ack{relayed.sequence, relayed.target},
                        {{Status::kAlive, d.sender, kNoInstance}});
  }
  // The seed was not a live member when it was pinged: sync with it at once.
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
  const InstanceId absent = it->second.target;
  probes_.erase(it);
  SuspectWithMinTimeout(now, absent);
}

void MembershipView::Handle(Time, const Datagram& d, const Gossip&) {
  // If the sender is not alive in this view, the reply carries its status, so that the sender can refute it.
  if (StatusUpdateOf(d.sender.id).has_value()) SendDatagram(d.sender.address, d.sender.id, Gossip{});
}

}  // namespace lemoncroft::gossip
