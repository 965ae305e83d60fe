// The members that a proxy holds: bounded, with a digest of who is alive, and tombstones of who was freed.
//
// Contract. No I/O, no clock; keeps what it is told and decides only who makes room. The proxy itself is one
// of the members and is never dropped. Owned by a View; times are the caller's.
#ifndef LEMONCROFT_GOSSIP_MEMBER_TABLE_H_
#define LEMONCROFT_GOSSIP_MEMBER_TABLE_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gossip/settings.h"
#include "gossip/types.h"

namespace lemoncroft::gossip {

struct Member {
  MemberRecord record;
  Status status = Status::kAlive;
  Time status_since{};                      // when it came to this status
  std::optional<Time> last_direct_contact;  // when a datagram of its own came last; none: known by hearsay
  std::vector<InstanceId> suspected_by;
  Time deadline = kNever;  // the suspicion ends, or it is freed

  bool is_live() const { return status == Status::kAlive || status == Status::kSuspect; }
};

class MemberTable {
 public:
  MemberTable(const MemberRecord& self, std::size_t max_members, const SafetyChecks& safety_checks);

  InstanceId self() const { return self_; }
  const Member& own() const { return members_.at(self_); }
  const Member* Find(InstanceId id) const;
  const std::map<InstanceId, Member>& all() const { return members_; }
  std::size_t live_count() const { return live_.size(); }  // this proxy included
  // Those alive or suspected, this proxy left out, in the order of their coming (but for places refilled).
  const std::vector<InstanceId>& others() const { return others_; }
  const std::vector<InstanceId>& failed() const { return failed_; }
  // Of the others those that gave no proof of life yet.
  const std::vector<InstanceId>& unconfirmed() const { return unconfirmed_; }
  // Names under which live instances serve, how many each; and those that more than one has.
  const std::map<std::string, std::size_t>& serving_names() const { return serving_names_; }
  const std::set<std::string>& shared_names() const { return shared_names_; }
  // A live instance that has this address; kNobody where there is none.
  InstanceId FindByAddress(const Endpoint& address) const;

  // False where there is no room for it. `proven`: it sent a datagram of its own.
  bool Add(Time now, const MemberRecord& record, Status status, bool confirmed);
  void Replace(const MemberRecord& record);  // of a member: it changed what it says of itself
  void SetStatus(Time now, InstanceId id, Status status);
  void SetIncarnation(InstanceId id, std::uint64_t incarnation);
  void SetDeadline(InstanceId id, Time deadline);
  bool AddSuspector(InstanceId id,
                    InstanceId suspector);  // false where it had accused already, or no more count
  void ClearSuspectors(InstanceId id);
  void RecordDirectContact(Time now, InstanceId id);
  // Drops it and keeps a tombstone until `until`.
  void Reap(InstanceId id, Time until);

  // The incarnation with which it was freed, where that is still known.
  std::optional<std::uint64_t> Tombstone(Time now, InstanceId id);
  std::size_t tombstones() const { return tombstones_.size(); }

  // The member that is due first, and when.
  std::pair<Time, InstanceId> FirstDeadline() const;
  // Moves what is due later by `by`: this proxy was held for so long.
  void DelaySuspicions(Span by);

  const BucketSums& bucket_sums() const { return bucket_sums_; }
  std::uint64_t digest() const;
  // Counts changes of who is alive, with which phase.
  std::uint64_t change_count() const { return change_count_; }

 private:
  bool MakeRoom(Time now, bool confirmed);
  void AddToCounters(const Member& member, std::uint64_t sign);  // into or out of the sums
  void CountServingName(const std::string& name, bool more);
  void UpdateLiveIndex(InstanceId id, bool live);
  static void Remove(std::vector<InstanceId>& from, InstanceId id);
  void Erase(InstanceId id);

  InstanceId self_;
  std::size_t max_members_;
  const SafetyChecks safety_checks_;
  std::map<InstanceId, Member> members_;
  std::set<InstanceId> live_;
  std::vector<InstanceId> others_, failed_, unconfirmed_;
  std::map<std::string, std::size_t> serving_names_;
  std::set<std::string> shared_names_;
  std::map<Endpoint, std::set<InstanceId>> by_address_;
  std::set<std::pair<Time, InstanceId>> deadlines_;
  struct FreedMember {
    std::uint64_t incarnation = 0;
    Time until{};
  };
  std::unordered_map<InstanceId, FreedMember> tombstones_;
  std::deque<InstanceId> tombstones_by_age_;
  BucketSums bucket_sums_{};
  std::uint64_t change_count_ = 0;
};

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_GOSSIP_MEMBER_TABLE_H_
