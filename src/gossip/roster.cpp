#include "gossip/roster.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace lemoncroft::gossip {
namespace {

std::uint64_t Hash(const Record& record) {
  const std::uint64_t words[] = {record.id, record.incarnation};
  return XXH3_64bits(words, sizeof words);
}

}  // namespace

Roster::Roster(const Record& self, std::size_t most, const Guards& guards)
    : self_(self.id), most_(most), guards_(guards) {
  Member& own = members_[self.id];
  own.record = self;
  Enlist(self.id, true);
  Count(own, 1);
}

const Member* Roster::Find(InstanceId id) const {
  const auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second;
}

InstanceId Roster::At(const Endpoint& address) const {
  const auto it = places_.find(address);
  return it == places_.end() || it->second.empty() ? kNobody : *it->second.begin();
}

void Roster::Count(const Member& member, std::uint64_t sign) {
  if (!member.living()) return;
  sums_[member.record.id % kBuckets] += sign * Hash(member.record);
  ++changes_;
  if (member.record.phase == Phase::kServing) CountServing(member.record.name, sign == 1);
}

void Roster::CountServing(const std::string& name, bool more) {
  std::size_t& count = serving_[name];
  count += more ? 1 : std::size_t(-1);
  if (count > 1)
    shared_.insert(name);
  else
    shared_.erase(name);
  if (count == 0) serving_.erase(name);
}

std::uint64_t Roster::digest() const {
  const std::uint64_t digest = XXH3_64bits(sums_.data(), sizeof sums_);
  return digest == 0 ? 1 : digest;  // 0 on the wire: none is told
}

void Roster::Remove(std::vector<InstanceId>& from, InstanceId id) {
  const auto it = std::find(from.begin(), from.end(), id);
  if (it == from.end()) return;
  *it = from.back();
  from.pop_back();
}

void Roster::Enlist(InstanceId id, bool living) {
  const Member& member = members_.at(id);
  if (!living) {
    if (living_.erase(id) == 0) return;
    Remove(others_, id);
    if (!member.proof) Remove(unproven_, id);
    const auto place = places_.find(member.record.address);
    place->second.erase(id);
    if (place->second.empty()) places_.erase(place);
  } else if (living_.insert(id).second) {
    if (id != self_) others_.push_back(id);
    if (id != self_ && !member.proof) unproven_.push_back(id);
    places_[member.record.address].insert(id);
  }
}

bool Roster::MakeRoom(Time now, bool proven) {
  if (members_.size() < most_ || !guards_.member_bound) return true;
  // Who goes first: the oldest who has failed or left, then the oldest known by hearsay alone, for one that
  // gave proof of life itself.
  const Member* worst = nullptr;
  for (const auto& [id, member] : members_) {
    if (id == self_) continue;
    const bool gone = !member.living(), hearsay = !member.proof.has_value();
    if (!gone && guards_.proven_stay && !(proven && hearsay)) continue;
    const auto rank = [this](const Member& m) {
      return std::tuple(m.living(), guards_.proven_stay && m.proof.has_value(), m.since);
    };
    if (worst == nullptr || rank(member) < rank(*worst)) worst = &member;
  }
  if (worst == nullptr) return false;
  Free(worst->record.id, now + std::chrono::minutes(1));
  return true;
}

bool Roster::Add(Time now, const Record& record, Status status, bool proven) {
  if (!MakeRoom(now, proven)) return false;
  Member& member = members_[record.id];
  member.record = record;
  member.status = status;
  member.since = now;
  if (proven) member.proof = now;
  if (member.living()) Enlist(record.id, true);
  if (status == Status::kFailed) failed_.push_back(record.id);
  Count(member, 1);
  return true;
}

void Roster::Replace(const Record& record) {
  Member& member = members_.at(record.id);
  const bool living = member.living();
  Count(member, std::uint64_t(-1));
  if (living && record.address != member.record.address) {
    Enlist(record.id, false);
    member.record = record;
    Enlist(record.id, true);
  } else {
    member.record = record;
  }
  Count(member, 1);
}

void Roster::SetStatus(Time now, InstanceId id, Status status) {
  Member& member = members_.at(id);
  if (member.status == status) return;
  Count(member, std::uint64_t(-1));
  if (member.status == Status::kFailed) Remove(failed_, id);
  if (status == Status::kFailed) failed_.push_back(id);
  member.status = status;
  member.since = now;
  Enlist(id, member.living());
  Count(member, 1);
}

void Roster::SetIncarnation(InstanceId id, std::uint64_t incarnation) {
  Member& member = members_.at(id);
  Count(member, std::uint64_t(-1));
  member.record.incarnation = incarnation;
  Count(member, 1);
}

void Roster::SetDue(InstanceId id, Time due) {
  Member& member = members_.at(id);
  if (member.due != kNever) due_.erase({member.due, id});
  member.due = due;
  if (due != kNever) due_.emplace(due, id);
}

bool Roster::Accuse(InstanceId id, InstanceId accuser) {
  std::vector<InstanceId>& accusers = members_.at(id).accusers;
  if (accusers.size() > kConfirmations) return false;
  if (std::find(accusers.begin(), accusers.end(), accuser) != accusers.end()) return false;
  accusers.push_back(accuser);
  return true;
}

void Roster::ClearAccusers(InstanceId id) { members_.at(id).accusers.clear(); }

void Roster::Prove(Time now, InstanceId id) {
  Member& member = members_.at(id);
  if (member.living() && !member.proof) Remove(unproven_, id);
  member.proof = now;
}

void Roster::Erase(InstanceId id) {
  Member& member = members_.at(id);
  SetDue(id, kNever);
  Count(member, std::uint64_t(-1));
  if (member.status == Status::kFailed) Remove(failed_, id);
  Enlist(id, false);
  members_.erase(id);
}

void Roster::Free(InstanceId id, Time until) {
  const std::uint64_t incarnation = members_.at(id).record.incarnation;
  Erase(id);
  if (!guards_.tombstones) return;
  if (!tombstones_.contains(id)) stones_by_age_.push_back(id);
  tombstones_[id] = {incarnation, until};
  while (stones_by_age_.size() > kTombstonesMost) {
    tombstones_.erase(stones_by_age_.front());
    stones_by_age_.pop_front();
  }
}

std::optional<std::uint64_t> Roster::Tombstone(Time now, InstanceId id) {
  while (!stones_by_age_.empty()) {
    const auto oldest = tombstones_.find(stones_by_age_.front());
    if (oldest != tombstones_.end() && oldest->second.until > now) break;
    if (oldest != tombstones_.end()) tombstones_.erase(oldest);
    stones_by_age_.pop_front();
  }
  const auto it = tombstones_.find(id);
  if (it == tombstones_.end() || it->second.until <= now) return std::nullopt;
  return it->second.incarnation;
}

std::pair<Time, InstanceId> Roster::FirstDue() const {
  return due_.empty() ? std::pair(kNever, kNobody) : *due_.begin();
}

void Roster::DelaySuspicions(Span by) {
  for (auto& [id, member] : members_) {
    if (member.status != Status::kSuspect || member.due == kNever) continue;
    member.since += by;  // what confirms it from now on counts from there, too
    SetDue(id, member.due + by);
  }
}

}  // namespace lemoncroft::gossip
