// State sync (anti-entropy) of MembershipView: digests, the buckets that differ and their entries.
#include <algorithm>
#include <array>
#include <utility>

#include "gossip/membership_view.h"
#include "gossip/membership_view_call_scope.h"

namespace lemoncroft::gossip {
namespace {

// Alive and suspect entries of a larger sync are not gossiped further.
constexpr std::size_t kMaxRebroadcastEntries = 64;
constexpr std::size_t kMaxSyncEntries = 8192;  // in one message

}  // namespace

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

// Initiates a state sync with the requested target, or every kSyncIntervalPeriods with a random member.
void MembershipView::StartDueSync(Time now) {
  const std::vector<InstanceId>& others = members_.others();
  if (!settings_.safety_checks.state_sync || others.empty()) return;
  if (now - last_sync_ < Periods(kMinSyncIntervalPeriods)) return;
  if (!sync_target_ && (period_count_ + members_.self()) % kSyncIntervalPeriods == 0)
    sync_target_ = members_.Find(others[RandomBelow(others.size())])->record.address;
  if (!sync_target_) return;
  outputs_.push_back(StateSync{std::exchange(sync_target_, {})});
  last_sync_ = now;
  digest_mismatches_ = 0;
}

void MembershipView::ExpireDigestMismatches(Time now) {
  std::erase_if(diverged_, [&](const auto& mismatch) {
    const Member* member = members_.Find(mismatch.first);
    return member == nullptr || !member->is_live() || now - mismatch.second > Periods(kSyncIntervalPeriods);
  });
}

SyncRequest MembershipView::StartSync(Time now) {
  const CallScope call(*this, now);
  return {members_.own().record, members_.bucket_sums()};
}

std::bitset<kDigestBuckets> MembershipView::SelectBuckets(const BucketSums& peer_sums) const {
  std::array<std::size_t, kDigestBuckets> bucket_bytes{};
  for (const auto& [id, member] : members_.all())
    bucket_bytes[id % kDigestBuckets] +=
        MaxEncodedSize(MemberUpdate{Status::kAlive, member.record, kNoInstance}) +
        MaxEncodedSize(MemberUpdate{Status::kFailed, member.record, kNoInstance});
  std::bitset<kDigestBuckets> selected;
  std::size_t total_bytes = 0;
  for (std::size_t bucket = 0; bucket < kDigestBuckets; ++bucket) {
    if (peer_sums[bucket] == members_.bucket_sums()[bucket]) continue;
    if (selected.any() && total_bytes + bucket_bytes[bucket] > kMaxSyncBytes) break;
    total_bytes += bucket_bytes[bucket];
    selected.set(bucket);
  }
  return selected;
}

std::vector<MemberUpdate> MembershipView::DifferingEntries(const BucketSums& peer_sums) const {
  std::vector<MemberUpdate> out;
  const std::bitset<kDigestBuckets> selected = SelectBuckets(peer_sums);
  for (const auto& [id, member] : members_.all()) {
    if (!selected.test(id % kDigestBuckets)) continue;
    if (id == members_.self() && left_) continue;
    if (out.size() + 2 > kMaxSyncEntries) break;
    if (member.is_live()) out.push_back({Status::kAlive, member.record, kNoInstance});
    // The failure or leave of an unconfirmed member is not passed on.
    if (member.status != Status::kAlive && (member.is_live() || member.last_direct_contact))
      out.push_back(*StatusUpdateOf(id));
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

}  // namespace lemoncroft::gossip
