// The members that a proxy holds: bounded, with a digest of who is alive, and tombstones of who was freed.
//
// Contract. No I/O, no clock; keeps what it is told and decides only who makes room. The proxy itself is one
// of the members and is never dropped. Owned by a View; times are the caller's.
#ifndef LEMONCROFT_PEERS_ROSTER_H_
#define LEMONCROFT_PEERS_ROSTER_H_

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
  Record record;
  Status status = Status::kAlive;
  Time since{};               // when it came to this status
  std::optional<Time> proof;  // when a datagram of its own came last; none: known by hearsay
  std::vector<InstanceId> accusers;
  Time due = kNever;  // the suspicion ends, or it is freed

  bool living() const { return status == Status::kAlive || status == Status::kSuspect; }
};

class Roster {
 public:
  Roster(const Record& self, std::size_t most, const Guards& guards);

  InstanceId self() const { return self_; }
  const Member& own() const { return members_.at(self_); }
  const Member* Find(InstanceId id) const;
  const std::map<InstanceId, Member>& all() const { return members_; }
  std::size_t living() const { return living_.size(); }  // this proxy included
  // Those alive or suspected, this proxy left out, in the order of their coming (but for places refilled).
  const std::vector<InstanceId>& others() const { return others_; }
  const std::vector<InstanceId>& failed() const { return failed_; }
  // Of the others those that gave no proof of life yet.
  const std::vector<InstanceId>& unproven() const { return unproven_; }
  // Names under which living instances serve, how many each; and those that more than one has.
  const std::map<std::string, std::size_t>& serving() const { return serving_; }
  const std::set<std::string>& shared() const { return shared_; }
  // A living instance that has this address; kNobody where there is none.
  InstanceId At(const Endpoint& address) const;

  // False where there is no room for it. `proven`: it sent a datagram of its own.
  bool Add(Time now, const Record& record, Status status, bool proven);
  void Replace(const Record& record);  // of a member: it changed what it says of itself
  void SetStatus(Time now, InstanceId id, Status status);
  void SetIncarnation(InstanceId id, std::uint64_t incarnation);
  void SetDue(InstanceId id, Time due);
  bool Accuse(InstanceId id, InstanceId accuser);  // false where it had accused already, or no more count
  void ClearAccusers(InstanceId id);
  void Prove(Time now, InstanceId id);
  // Drops it and keeps a tombstone until `until`.
  void Free(InstanceId id, Time until);

  // The incarnation with which it was freed, where that is still known.
  std::optional<std::uint64_t> Tombstone(Time now, InstanceId id);
  std::size_t tombstones() const { return tombstones_.size(); }

  // The member that is due first, and when.
  std::pair<Time, InstanceId> FirstDue() const;
  // Moves what is due later by `by`: this proxy was held for so long.
  void DelaySuspicions(Span by);

  const Sums& sums() const { return sums_; }
  std::uint64_t digest() const;
  // Counts changes of who is alive, with which phase.
  std::uint64_t changes() const { return changes_; }

 private:
  bool MakeRoom(Time now, bool proven);
  void Count(const Member& member, std::uint64_t sign);  // into or out of the sums
  void CountServing(const std::string& name, bool more);
  void Enlist(InstanceId id, bool living);
  static void Remove(std::vector<InstanceId>& from, InstanceId id);
  void Erase(InstanceId id);

  InstanceId self_;
  std::size_t most_;
  const Guards guards_;
  std::map<InstanceId, Member> members_;
  std::set<InstanceId> living_;
  std::vector<InstanceId> others_, failed_, unproven_;
  std::map<std::string, std::size_t> serving_;
  std::set<std::string> shared_;
  std::map<Endpoint, std::set<InstanceId>> places_;
  std::set<std::pair<Time, InstanceId>> due_;
  struct Stone {
    std::uint64_t incarnation = 0;
    Time until{};
  };
  std::unordered_map<InstanceId, Stone> tombstones_;
  std::deque<InstanceId> stones_by_age_;
  Sums sums_{};
  std::uint64_t changes_ = 0;
};

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_PEERS_ROSTER_H_
