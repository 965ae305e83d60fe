#include "gossip/member_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace lemoncroft::gossip {
namespace {

std::uint64_t Hash(const MemberRecord& record) {
  const std::uint64_t words[] = {record.id, record.incarnation};
  return XXH3_64bits(words, sizeof words);
}

}  // namespace

MemberTable::MemberTable(const MemberRecord& self, std::size_t max_members, const SafetyChecks& safety_checks)
    : self_(self.id), max_members_(max_members), safety_checks_(safety_checks) {
  Member& own = members_[self.id];
  own.record = self;
  UpdateLiveIndex(self.id, true);
  AddToCounters(own, 1);
}

const Member* MemberTable::Find(InstanceId id) const {
  const auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second;
}

InstanceId MemberTable::FindByAddress(const PeerAddress& address) const {
  const auto it = by_address_.find(address);
  return it == by_address_.end() || it->second.empty() ? kNoInstance : *it->second.begin();
}

void MemberTable::AddToCounters(const Member& member, std::uint64_t sign) {
  if (!member.is_live()) return;
  bucket_sums_[member.record.id % kDigestBuckets] += sign * Hash(member.record);
  ++change_count_;
  if (member.record.phase == Phase::kServing) CountServingName(member.record.name, sign == 1);
}

void MemberTable::CountServingName(const std::string& name, bool added) {
  std::size_t& count = serving_names_[name];
  count += added ? 1 : std::size_t(-1);
  if (count > 1)
    shared_names_.insert(name);
  else
    shared_names_.erase(name);
  if (count == 0) serving_names_.erase(name);
}

std::uint64_t MemberTable::digest() const {
  const std::uint64_t digest = XXH3_64bits(bucket_sums_.data(), sizeof bucket_sums_);
  return digest == 0 ? 1 : digest;  // 0 means "not given" on the wire
}

void MemberTable::Remove(std::vector<InstanceId>& from, InstanceId id) {
  const auto it = std::find(from.begin(), from.end(), id);
  if (it == from.end()) return;
  *it = from.back();
  from.pop_back();
}

void MemberTable::UpdateLiveIndex(InstanceId id, bool live) {
  const Member& member = members_.at(id);
  if (!live) {
    if (live_.erase(id) == 0) return;
    Remove(others_, id);
    if (!member.last_direct_contact) Remove(unconfirmed_, id);
    const auto entry = by_address_.find(member.record.address);
    entry->second.erase(id);
    if (entry->second.empty()) by_address_.erase(entry);
  } else if (live_.insert(id).second) {
    if (id != self_) others_.push_back(id);
    if (id != self_ && !member.last_direct_contact) unconfirmed_.push_back(id);
    by_address_[member.record.address].insert(id);
  }
}

bool MemberTable::EvictIfFull(Time now, bool confirmed) {
  if (members_.size() < max_members_ || !safety_checks_.member_limit) return true;
  // Evicts the oldest member that failed or left, unconfirmed ones first. If there is none, a confirmed new
  // member replaces the oldest live unconfirmed one.
  const Member* candidate = nullptr;
  for (const auto& [id, member] : members_) {
    if (id == self_) continue;
    const bool not_live = !member.is_live(), unconfirmed = !member.last_direct_contact.has_value();
    if (!not_live && safety_checks_.protect_confirmed && !(confirmed && unconfirmed)) continue;
    const auto rank = [this](const Member& m) {
      return std::tuple(m.is_live(), safety_checks_.protect_confirmed && m.last_direct_contact.has_value(),
                        m.status_since);
    };
    if (candidate == nullptr || rank(member) < rank(*candidate)) candidate = &member;
  }
  if (candidate == nullptr) return false;
  Reap(candidate->record.id, now + std::chrono::minutes(1));
  return true;
}

bool MemberTable::Add(Time now, const MemberRecord& record, Status status, bool confirmed) {
  if (!EvictIfFull(now, confirmed)) return false;
  Member& member = members_[record.id];
  member.record = record;
  member.status = status;
  member.status_since = now;
  if (confirmed) member.last_direct_contact = now;
  if (member.is_live()) UpdateLiveIndex(record.id, true);
  if (status == Status::kFailed) failed_.push_back(record.id);
  AddToCounters(member, 1);
  return true;
}

void MemberTable::Replace(const MemberRecord& record) {
  Member& member = members_.at(record.id);
  const bool live = member.is_live();
  AddToCounters(member, std::uint64_t(-1));
  if (live && record.address != member.record.address) {
    UpdateLiveIndex(record.id, false);
    member.record = record;
    UpdateLiveIndex(record.id, true);
  } else {
    member.record = record;
  }
  AddToCounters(member, 1);
}

void MemberTable::SetStatus(Time now, InstanceId id, Status status) {
  Member& member = members_.at(id);
  if (member.status == status) return;
  AddToCounters(member, std::uint64_t(-1));
  if (member.status == Status::kFailed) Remove(failed_, id);
  if (status == Status::kFailed) failed_.push_back(id);
  member.status = status;
  member.status_since = now;
  UpdateLiveIndex(id, member.is_live());
  AddToCounters(member, 1);
}

void MemberTable::SetIncarnation(InstanceId id, std::uint64_t incarnation) {
  Member& member = members_.at(id);
  AddToCounters(member, std::uint64_t(-1));
  member.record.incarnation = incarnation;
  AddToCounters(member, 1);
}

void MemberTable::SetDeadline(InstanceId id, Time deadline) {
  Member& member = members_.at(id);
  if (member.deadline != kNever) deadlines_.erase({member.deadline, id});
  member.deadline = deadline;
  if (deadline != kNever) deadlines_.emplace(deadline, id);
}

bool MemberTable::AddSuspector(InstanceId id, InstanceId suspector) {
  std::vector<InstanceId>& suspected_by = members_.at(id).suspected_by;
  if (suspected_by.size() > kSuspicionConfirmations) return false;
  if (std::find(suspected_by.begin(), suspected_by.end(), suspector) != suspected_by.end()) return false;
  suspected_by.push_back(suspector);
  return true;
}

void MemberTable::ClearSuspectors(InstanceId id) { members_.at(id).suspected_by.clear(); }

void MemberTable::RecordDirectContact(Time now, InstanceId id) {
  Member& member = members_.at(id);
  if (member.is_live() && !member.last_direct_contact) Remove(unconfirmed_, id);
  member.last_direct_contact = now;
}

void MemberTable::Erase(InstanceId id) {
  Member& member = members_.at(id);
  SetDeadline(id, kNever);
  AddToCounters(member, std::uint64_t(-1));
  if (member.status == Status::kFailed) Remove(failed_, id);
  UpdateLiveIndex(id, false);
  members_.erase(id);
}

void MemberTable::Reap(InstanceId id, Time until) {
  const std::uint64_t incarnation = members_.at(id).record.incarnation;
  Erase(id);
  if (!safety_checks_.tombstones) return;
  if (!tombstones_.contains(id)) tombstones_by_age_.push_back(id);
  tombstones_[id] = {incarnation, until};
  while (tombstones_by_age_.size() > kMaxTombstones) {
    tombstones_.erase(tombstones_by_age_.front());
    tombstones_by_age_.pop_front();
  }
}

std::optional<std::uint64_t> MemberTable::FindTombstone(Time now, InstanceId id) {
  while (!tombstones_by_age_.empty()) {
    const auto oldest = tombstones_.find(tombstones_by_age_.front());
    if (oldest != tombstones_.end() && oldest->second.until > now) break;
    if (oldest != tombstones_.end()) tombstones_.erase(oldest);
    tombstones_by_age_.pop_front();
  }
  const auto it = tombstones_.find(id);
  if (it == tombstones_.end() || it->second.until <= now) return std::nullopt;
  return it->second.incarnation;
}

std::pair<Time, InstanceId> MemberTable::FirstDeadline() const {
  return deadlines_.empty() ? std::pair(kNever, kNoInstance) : *deadlines_.begin();
}

void MemberTable::DelaySuspicions(Duration by) {
  for (auto& [id, member] : members_) {
    if (member.status != Status::kSuspect || member.deadline == kNever) continue;
    member.status_since += by;  // further confirmations recompute the deadline from it
    SetDeadline(id, member.deadline + by);
  }
}

}  // namespace lemoncroft::gossip
