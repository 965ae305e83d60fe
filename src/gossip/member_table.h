// The members that this proxy knows, with the indexes and digests derived from them, and tombstones of the
// members that were reaped.
//
// No I/O, no clock; times are passed by the caller. It stores the decisions of the protocol; its only
// own decision is which member to evict when the table is full. The proxy itself is a member and is never
// evicted. Owned by a MembershipView.
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

// A member in the local view.
struct Member {
  MemberRecord record;
  Status status = Status::kAlive;
  Time status_since{};                      // when the member entered this status
  std::optional<Time> last_direct_contact;  // its last datagram; nullopt: known only through others
  std::vector<InstanceId> suspected_by;
  Time deadline = kNever;  // end of the suspicion, or when the member is reaped

  // Suspected members count as live.
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
  // The live members other than this proxy, in insertion order, except that a removal moves the last one into
  // the gap.
  const std::vector<InstanceId>& others() const { return others_; }
  const std::vector<InstanceId>& failed() const { return failed_; }
  // The members of others() from which this proxy has never received a datagram.
  const std::vector<InstanceId>& unconfirmed() const { return unconfirmed_; }
  // Names of the live serving instances, each with its number of instances.
  const std::map<std::string, std::size_t>& serving_names() const { return serving_names_; }
  // Names under which more than one live instance serves.
  const std::set<std::string>& shared_names() const { return shared_names_; }
  // Returns a live instance with this address, or kNoInstance.
  InstanceId FindByAddress(const PeerAddress& address) const;

  // Adds a member; `confirmed`: this proxy received a datagram from it. Returns false if the table is full
  // and no member may be evicted.
  bool Add(Time now, const MemberRecord& record, Status status, bool confirmed);
  // Replaces the record of a known member.
  void Replace(const MemberRecord& record);
  void SetStatus(Time now, InstanceId id, Status status);
  void SetIncarnation(InstanceId id, std::uint64_t incarnation);
  void SetDeadline(InstanceId id, Time deadline);
  // Returns false if the suspector is already recorded or further suspectors would not count.
  bool AddSuspector(InstanceId id, InstanceId suspector);
  void ClearSuspectors(InstanceId id);
  void RecordDirectContact(Time now, InstanceId id);
  // Removes a member and stores a tombstone of it that expires at `until`.
  void Reap(InstanceId id, Time until);

  // Returns the incarnation with which a member was reaped, or nullopt if no tombstone of it is stored.
  std::optional<std::uint64_t> FindTombstone(Time now, InstanceId id);
  std::size_t tombstone_count() const { return tombstones_.size(); }

  // Returns the earliest deadline and its member, or {kNever, kNoInstance} if there is none.
  std::pair<Time, InstanceId> FirstDeadline() const;
  // Postpones all suspicion deadlines by the duration of a pause of this proxy.
  void DelaySuspicions(Duration by);

  // Sums and digest of the ids and incarnations of the live members.
  const BucketSums& bucket_sums() const { return bucket_sums_; }
  std::uint64_t digest() const;
  // Increases with each change of the live members or of their records.
  std::uint64_t change_count() const { return change_count_; }

 private:
  // Returns false if the table is full and no member may be evicted for the new one.
  bool EvictIfFull(Time now, bool confirmed);
  void AddToCounters(const Member& member, std::uint64_t sign);  // sign: 1 or -1
  void CountServingName(const std::string& name, bool added);
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
  std::map<PeerAddress, std::set<InstanceId>> by_address_;
  std::set<std::pair<Time, InstanceId>> deadlines_;
  struct ReapedMember {
    std::uint64_t incarnation = 0;
    Time until{};
  };
  std::unordered_map<InstanceId, ReapedMember> tombstones_;
  std::deque<InstanceId> tombstones_by_age_;
  BucketSums bucket_sums_{};
  std::uint64_t change_count_ = 0;
};

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_GOSSIP_MEMBER_TABLE_H_
