#include "replicated_config/lease.h"

#include <algorithm>
#include <cmath>

namespace lemoncroft::replicated_config {
namespace {

constexpr std::size_t kMaxPendingRenewals = 16;    // renewals without a grant
constexpr std::size_t kExpirySweepThreshold = 64;  // above this number of leases, expired ones are dropped
constexpr std::size_t kMaxClockSamples = 11;       // 11 samples span ten renewal intervals
// The network jitter that a comparison of clocks tolerates.
constexpr Duration kMessageDelayTolerance = std::chrono::milliseconds(20);

Duration Scaled(Duration span, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

}  // namespace

// ---- LeaseHolder ----

LeaseRenewal LeaseHolder::RequestRenewal(Time now) {
  pending_renewals_[++last_sequence_] = now;
  while (pending_renewals_.size() > kMaxPendingRenewals) pending_renewals_.erase(pending_renewals_.begin());
  return {last_sequence_, prepared_version_};
}

void LeaseHolder::HandleGrant(Time now, const LeaseGrant& grant) {
  const auto renewal = pending_renewals_.find(grant.sequence);
  if (renewal == pending_renewals_.end()) return;  // already granted, or dropped as too old
  const Time start = options_.safety_checks.start_at_request ? renewal->second : now;
  pending_renewals_.erase(pending_renewals_.begin(), std::next(renewal));
  CompareClockRates(now, grant);
  latest_version_ = std::max(latest_version_, grant.latest_version);
  if (grant.active_version < active_version_ && options_.safety_checks.monotonic_versions)
    return;  // the grant comes from a former leader
  active_version_ = grant.active_version;
  const Duration lease = options_.safety_checks.allow_for_clock_rates
                             ? Scaled(options_.duration, 1 - options_.max_clock_rate_difference)
                             : options_.duration;
  const Time end = start + lease;
  expiry_ = std::max(expiry_, end);
  unexpired_at_last_tick_ = true;
}

void LeaseHolder::CompareClockRates(Time now, const LeaseGrant& grant) {
  if (leadership_epoch_ != grant.leadership_epoch) clock_samples_.clear();
  leadership_epoch_ = grant.leadership_epoch;
  clock_samples_.push_back({now, grant.leader_clock});
  if (clock_samples_.size() > kMaxClockSamples) clock_samples_.pop_front();
  if (clock_samples_.size() < kMaxClockSamples) return;
  const Duration local = clock_samples_.back().local - clock_samples_.front().local;
  const Duration leader = clock_samples_.back().leader - clock_samples_.front().leader;
  const Duration difference = local > leader ? local - leader : leader - local;
  clock_rates_differ_ =
      difference > Scaled(local, options_.max_clock_rate_difference) + kMessageDelayTolerance;
}

void LeaseHolder::MarkPrepared(Version version) { prepared_version_ = std::max(prepared_version_, version); }

std::optional<Version> LeaseHolder::UsableVersion(Time now) const {
  const bool leased = options_.safety_checks.check_expiry_on_use ? now < expiry_ : unexpired_at_last_tick_;
  if (!leased || clock_rates_differ_ || prepared_version_ < active_version_) return std::nullopt;
  return active_version_;
}

// ---- LeaseGrantor ----

void LeaseGrantor::BeginLeadership(Time now, std::uint64_t leadership_epoch) {
  leading_since_ = now;
  leadership_epoch_ = leadership_epoch;
  leases_.clear();
  leases_by_prepared_version_.clear();
}

void LeaseGrantor::RecordLease(const std::string& holder, const RecordedLease& lease) {
  const auto known = leases_.find(holder);
  if (known != leases_.end()) {
    const auto group = leases_by_prepared_version_.find(known->second.prepared_version);
    group->second.erase({known->second.expiry, holder});
    if (group->second.empty()) leases_by_prepared_version_.erase(group);
  }
  leases_[holder] = lease;
  leases_by_prepared_version_[lease.prepared_version].emplace(lease.expiry, holder);
}

void LeaseGrantor::DropExpired(Time now) {
  for (auto group = leases_by_prepared_version_.begin(); group != leases_by_prepared_version_.end();) {
    std::set<ExpiryAndHolder>& leases = group->second;
    while (!leases.empty() && leases.begin()->first <= now) {
      leases_.erase(leases.begin()->second);
      leases.erase(leases.begin());
    }
    group = leases.empty() ? leases_by_prepared_version_.erase(group) : std::next(group);
  }
}

bool LeaseGrantor::AnyHolderBehind(Time now, Version version) const {
  for (const auto& [prepared_version, leases] : leases_by_prepared_version_) {
    if (prepared_version >= version) return false;
    if (leases.rbegin()->first > now) return true;
  }
  return false;
}

std::optional<LeaseGrant> LeaseGrantor::HandleRenewal(Time now, bool leads, const std::string& from,
                                                      const LeaseRenewal& renewal, Version active_version,
                                                      Version latest_version) {
  if (!leads && options_.safety_checks.grant_only_while_leading) return std::nullopt;
  // The holder's lease starts at its request, which is earlier than `now`, but its clock may be slower than
  // this one.
  const Duration lease = options_.safety_checks.allow_for_clock_rates
                             ? Scaled(options_.duration, 1 + options_.max_clock_rate_difference)
                             : options_.duration;
  if (leases_.size() > kExpirySweepThreshold) DropExpired(now);
  const auto known = leases_.find(from);
  const Version before = known == leases_.end() ? 0 : known->second.prepared_version;
  RecordLease(from, {now + lease, std::max(before, renewal.prepared_version)});
  return LeaseGrant{renewal.sequence, active_version, latest_version, now - leading_since_,
                    leadership_epoch_};
}

bool LeaseGrantor::MayActivate(Time now, bool leads, Version version) const {
  if (!leads && options_.safety_checks.grant_only_while_leading) return false;
  const Duration longest_lease = Scaled(options_.duration, 1 + 2 * options_.max_clock_rate_difference);
  if (now < leading_since_ + longest_lease && options_.safety_checks.wait_after_election) return false;
  return !options_.safety_checks.wait_for_all_prepared || !AnyHolderBehind(now, version);
}

std::map<std::string, Version> LeaseGrantor::UnpreparedHolders(Time now, Version version) const {
  std::map<std::string, Version> unprepared;
  for (const auto& [name, lease] : leases_)
    if (lease.expiry > now && lease.prepared_version < version) unprepared[name] = lease.prepared_version;
  return unprepared;
}

std::map<std::string, Version> LeaseGrantor::LiveHolders(Time now) const {
  std::map<std::string, Version> live;
  for (const auto& [name, lease] : leases_)
    if (lease.expiry > now) live[name] = lease.prepared_version;
  return live;
}

// ---- For the model checker ----

std::string LeaseHolder::CanonicalState(Time now) const {
  const auto left = [now](Time at) { return std::to_string(std::max<Duration::rep>(0, (at - now).count())); };
  std::string out = std::to_string(last_sequence_) + "," + std::to_string(active_version_) + "," +
                    std::to_string(latest_version_) + "," + std::to_string(prepared_version_) + "," +
                    left(expiry_) + (unexpired_at_last_tick_ ? "t" : "");
  for (const auto& [sequence, at] : pending_renewals_)
    out += ";" + std::to_string(sequence) + ":" + std::to_string((now - at).count());
  return out;
}

std::string LeaseGrantor::CanonicalState(Time now, const std::string& holder) const {
  const Duration longest = 2 * options_.duration;  // longer times have no further effect
  if (holder.empty())
    return std::to_string(std::min(longest, now - leading_since_).count()) + "," +
           std::to_string(leadership_epoch_);
  const auto it = leases_.find(holder);
  if (it == leases_.end()) return "-";
  const bool live = it->second.expiry > now;
  return live ? std::to_string((it->second.expiry - now).count()) + ":" +
                    std::to_string(it->second.prepared_version)
              : "over:" + std::to_string(it->second.prepared_version);
}

}  // namespace lemoncroft::replicated_config
